// Package flood simulates servers that answer with bytes without an end, for tests of clients.
package flood
