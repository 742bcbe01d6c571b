package probe

import (
	"time"

	"golang.org/x/time/rate"
)

// share is one VM's part of the budget for one upstream.
type share struct {
	perSecond float64
	vms       int
	bucket    *rate.Limiter
	busy      bool
}

// newShare returns a share with an empty bucket, so that a restarted VM has no probe to spend.
func newShare(perSecond float64, vms int, now time.Time) *share {
	s := &share{perSecond: perSecond, vms: vms}
	s.empty(now)
	return s
}

// empty starts the gap of 2*N/P seconds anew. It is called at the end of a probe too, because a process that is frozen
// between the grant and the sending would otherwise send the late probe and the next one together.
func (s *share) empty(now time.Time) {
	s.bucket = rate.NewLimiter(rate.Limit(s.perSecond/float64(2*s.vms)), 1)
	s.bucket.AllowN(now, 1)
}

// take spends the probe if there is one and now is in the slot of the rank.
func (s *share) take(rank int, now time.Time) bool {
	return !s.busy && inSlot(s.perSecond, s.vms, rank, now) && s.bucket.AllowN(now, 1)
}

// inSlot tells whether now is in the first half of the rank's slot of 2/P seconds on the wall clock. Slots are needed
// only if N/P exceeds a second, because the gap alone holds the budget in windows of N/P.
func inSlot(perSecond float64, vms, rank int, now time.Time) bool {
	if perSecond <= 0 || vms < 1 {
		return false
	}
	if float64(vms) <= perSecond {
		return true
	}
	half := int64(float64(time.Second) / perSecond)
	n := now.UnixNano() / half
	return n%2 == 0 && n/2%int64(vms) == int64(rank)
}
