// Package sampler asks upstreams for their load just before one of them is chosen.
//
// Load on shared hosts shifts within milliseconds, so a report is worth little after some 100 ms.
package sampler
