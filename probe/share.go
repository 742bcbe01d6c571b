package probe

import (
	"time"

	"golang.org/x/time/rate"
)

// share is one VM's part of the budget for one upstream.
type share struct {
	perSecond float64
	vms       int // highest number of entry VMs
	bucket    *rate.Limiter
	busy      bool // a probe is in progress
}

// newShare returns a share with an empty bucket, so that a VM cannot send a probe right after a restart.
func newShare(perSecond float64, vms int, now time.Time) *share {
	s := &share{perSecond: perSecond, vms: vms}
	s.restartGap(now)
	return s
}

// restartGap empties the bucket, so that the gap of 2*N/P seconds starts again. It is also called at the end of a probe,
// because a process that is paused between the grant and the sending of a probe would otherwise send the late probe and
// the next one together.
func (s *share) restartGap(now time.Time) {
	s.bucket = rate.NewLimiter(rate.Limit(s.perSecond/float64(2*s.vms)), 1)
	s.bucket.AllowN(now, 1)
}

// allow reports whether a probe may be sent now, and if so takes it from the bucket. It requires that no probe is in
// progress and that now is in the slot of the rank.
func (s *share) allow(rank int, now time.Time) bool {
	return !s.busy && inSlot(s.perSecond, s.vms, rank, now) && s.bucket.AllowN(now, 1)
}

// inSlot reports whether now is in the first half of the rank's slot of 2/P seconds on the wall clock. Slots are needed
// only if N/P exceeds a second, because the gap alone guarantees the budget in windows of N/P.
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
