// Command standin-platform serves the in-memory stand-in of the platform until it is interrupted.
package main
