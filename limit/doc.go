// Package limit bounds the messages that our own processes and the store send.
package limit
