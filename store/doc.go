// Package store implements the client of the platform's key-value store.
//
// A key that does not exist has version 0 and no data. Answers are bounded and decoded strictly.
package store
