// Package home decides which entry VM holds the queue of which group of upstreams, by rendezvous hashing.
package home
