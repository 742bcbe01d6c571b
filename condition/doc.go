// Package condition holds what one VM has seen of each upstream: load reports, own requests in progress and failures.
package condition
