// Package backoff spaces repeated attempts, with jitter so that many processes do not repeat in step.
package backoff
