// Package boottime reads the clock that goes on while the machine is suspended, which the runtime's monotonic clock doesn't.
package boottime
