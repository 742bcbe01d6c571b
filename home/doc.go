// Package home assigns the queue of each group of upstreams to an entry VM by rendezvous hashing.
package home
