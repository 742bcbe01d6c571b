// Package gossip spreads events between entry VMs and detects which of them are alive, by a SWIM protocol.
//
// There are three workers: one sends pings every 250 ms, one pushes new events, and one compares the whole state with
// that of a random peer every 10 s (anti-entropy).
package gossip
