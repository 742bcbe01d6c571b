// Package breakage simulates servers that answer with broken responses, for tests of clients.
package breakage
