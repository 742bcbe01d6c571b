// Command standin-platform serves an in-memory stand-in for the platform until it is interrupted.
package main
