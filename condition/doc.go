// Package condition records what one VM has observed of each upstream: load reports, own requests in progress and failures.
package condition
