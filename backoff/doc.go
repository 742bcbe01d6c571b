// Package backoff spaces repeated attempts exponentially, with jitter so that many processes do not retry at the same time.
package backoff
