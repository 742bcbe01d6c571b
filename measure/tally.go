package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the jobs of a run. A job without an answer in time counts with its timeout as latency.
type tally struct {
	short, long          *hdrhistogram.Histogram
	jobs, missed         int
	weight, weightInTime int
	spills, refused      int
}

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &tally{short: h(), long: h()}
}

func (t *tally) count(j *job, latency time.Duration, ok bool) {
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
