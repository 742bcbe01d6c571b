// Package key defines the key that identifies one non-idempotent request.
//
// The text form is incarnation.expiry.random: 16 lower-case hex digits, the expiry in ms of Unix time in decimal, and
// 32 lower-case hex digits. Only the entry VM with the incarnation may start the request.
package key
