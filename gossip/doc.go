// Package gossip spreads events between entry VMs and detects which of them are alive.
//
// Each duty is one goroutine: ping every 250 ms, push of new events, and a comparison with a random peer every 10 s.
package gossip
