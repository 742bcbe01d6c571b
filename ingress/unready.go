package ingress

import (
	"net/http"
	"time"

	"github.com/fulmarhitch/fulmarhitch/header"
)

const (
	// maxUnreadyWait bounds the time for which a request waits for the first rules. A process has them some 200 ms after its start, and a
	// caller that is told to come back later is mostly too late.
	maxUnreadyWait = 500 * time.Millisecond
	// unreadyShare is the share of the time until its deadline for which a request waits at most. Callers give up a VM that has not read
	// their request after a third of it.
	unreadyShare = 0.25
	// maxUnready is the maximum number of requests that wait for the first rules.
	maxUnready = 256
)

// awaitRules waits until the first rules and upstreams are known, for a part of the time that the caller waits. Requests that other VMs
// pass on don't wait, as these may ask another VM.
func (s *Server) awaitRules(r *http.Request, arrived time.Time) {
	if s.config.Joined == nil || s.config.Rules() != nil || s.refusing.Load() || r.Header.Get(header.Detour) != "" {
		return
	}
	defer s.unready.Add(-1)
	if s.unready.Add(1) > maxUnready {
		return
	}
	deadline, resp := s.deadline(r, nil, arrived)
	if resp != nil {
		return
	}
	wait := min(maxUnreadyWait, time.Duration(unreadyShare*float64(deadline.Sub(arrived))))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.config.Joined():
	case <-timer.C:
	case <-r.Context().Done():
	}
}
