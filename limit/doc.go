// Package limit bounds the answers that clients of our own processes and of the store read.
package limit
