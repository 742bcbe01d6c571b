// Package admission decides in each round of selection whether a request is sent to an upstream, waits for the next round or is
// refused. It has neither a network nor a clock.
package admission
