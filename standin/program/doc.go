// Package program starts the project's programs as processes of their own, for the demo and for measurements. The system
// itself starts no process.
package program
