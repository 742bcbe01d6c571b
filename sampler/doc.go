// Package sampler polls upstreams for their load just before one of them is chosen.
//
// Load on shared hosts changes within milliseconds, so a report is of little use after about 100 ms.
package sampler
