package gateway

import (
	"net"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/head"
)

const (
	// headShare is the divisor of the memory of the process that gives the default memory for heads.
	headShare = 8
	// connectionsPerMiB is the default number of open connections for each MiB of memory. A connection takes 10 to 20 KiB, and up to 24 KiB
	// more for a head that the memory for heads doesn't count.
	connectionsPerMiB = 16
	// directoryShare and readinessShare are the divisors of the connections that give those for look-ups and for readiness checks. The rest
	// is for callers.
	directoryShare = 5
	readinessShare = 16
	// minHeadMemory is the least memory for heads in bytes. It has room for a head of 16 KiB in 5,461 lines, the shortest that are valid.
	minHeadMemory = 4 << 20
)

// newHeadBudget returns the budget for the heads of requests, which logs and counts what it refuses.
func newHeadBudget(s *Settings, log *logrus.Entry, count func(reason string)) *head.Budget {
	limit := int64(s.HeadMemory) << 20
	if limit == 0 {
		limit = max(int64(s.Memory)<<20/headShare, minHeadMemory)
	}
	return head.New(limit, func(r head.Reason, address string) {
		count(string(r))
		log.WithFields(logrus.Fields{"reason": string(r), "caller": address}).Warn("connection refused")
	})
}

// maxConnections returns the largest number of open connections, which leaves a quarter of the descriptors to upstreams and other VMs.
func maxConnections(s *Settings) int {
	n := s.Connections
	if n == 0 {
		n = s.Memory * connectionsPerMiB
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur/4*3 < uint64(n) {
		n = int(descriptors.Cur / 4 * 3)
	}
	return max(n, readinessShare)
}

// limitHeads returns a listener for an endpoint with the given share of the connections.
func limitHeads(l net.Listener, heads *head.Budget, connections int) *head.Listener {
	return heads.Listen(l, connections, func() int64 { return maxEndpointHeaderBytes })
}
