// Package link is a loopback proxy for tests that delays, silences, cuts one way or resets the connections through it.
package link
