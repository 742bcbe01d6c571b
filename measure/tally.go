package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally holds the counts and latencies of a run. The latency of a job without an answer in time is its timeout.
type tally struct {
	short, long           *hdrhistogram.Histogram
	jobs, missed          int
	weight, weightInTime  int
	spills, spillsRefused int
}

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &tally{short: h(), long: h()}
}

func (t *tally) record(j *job, latency time.Duration, ok bool) {
	ok = ok && latency <= j.timeout
	t.jobs++
	t.weight += j.request.Weight
	if ok {
		t.weightInTime += j.request.Weight
	} else {
		t.missed++
		latency = j.timeout
	}
	h := t.short
	if j.long {
		h = t.long
	}
	_ = h.RecordValue(latency.Microseconds())
}
