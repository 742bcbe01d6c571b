package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Report is the result of a run.
type Report struct {
	// Elapsed is the time from the start of the run to the last outcome.
	Elapsed time.Duration
	// Lines contains one line for each route and kind.
	Lines []Line
}

// Line is the result of one kind of calls by one route.
type Line struct {
	Route, Service, Kind string
	// Answered, NotRun, Unknown and Mismatched count outcomes; a mismatched answer isn't counted as unknown.
	Answered, NotRun, Unknown, Mismatched int
	// Failed counts answers with a status of 500 or above; they are also counted in Answered.
	Failed int
	// Dropped counts arrivals that were not sent, because too many calls were in progress.
	Dropped int
	// Latencies of answered calls, from their scheduled arrival.
	P50, P90, P99, P999, Max time.Duration
}

// result collects the outcomes of one line. It is safe for concurrent use.
type result struct {
	mu        sync.Mutex
	line      Line
	latencies *hdrhistogram.Histogram
}

// newResult returns a result with a histogram of latencies from 1 µs to 2 min with 3 significant digits.
func newResult() *result {
	return &result{latencies: hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3)}
}

func (r *result) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line.Dropped++
}

func (r *result) add(out outcome.Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch out := out.(type) {
	case outcome.Answered:
		r.line.Answered++
		if out.Status >= 500 {
			r.line.Failed++
		}
		// No value exceeds the histogram's range, because timeouts are at most 1 min.
		_ = r.latencies.RecordValue(max(1, took.Microseconds()))
	case outcome.NotRun:
		r.line.NotRun++
	case outcome.Unknown:
		if out.Reason == outcome.Mismatched {
			r.line.Mismatched++
		} else {
			r.line.Unknown++
		}
	}
}

func (l *Load) report(elapsed time.Duration) Report {
	report := Report{Elapsed: elapsed}
	for _, route := range l.routes() {
		for i, share := range l.config.Mix {
			r := l.results[lineKey{route, i}]
			percentile := func(p float64) time.Duration {
				return time.Duration(r.latencies.ValueAtPercentile(p)) * time.Microsecond
			}
			line := r.line
			line.Route, line.Service, line.Kind = route, share.Service, share.Kind
			line.P50, line.P90, line.P99, line.P999 = percentile(50), percentile(90), percentile(99), percentile(99.9)
			line.Max = time.Duration(r.latencies.Max()) * time.Microsecond
			report.Lines = append(report.Lines, line)
		}
	}
	return report
}

// Table writes the report as a table with latencies in ms.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "way\tservice/kind\tanswered\tfailed\tnot run\tunknown\tmismatched\tdropped\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, l := range r.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t", l.Route, l.Service, l.Kind,
			l.Answered, l.Failed, l.NotRun, l.Unknown, l.Mismatched, l.Dropped)
		for _, d := range []time.Duration{l.P50, l.P90, l.P99, l.P999, l.Max} {
			_, _ = fmt.Fprintf(t, "%.3f\t", d.Seconds()*1000)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

type jsonLine struct {
	Way        string `json:"way"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	Answered   int    `json:"answered"`
	Failed     int    `json:"failed"`
	NotRun     int    `json:"not-run"`
	Unknown    int    `json:"unknown"`
	Mismatched int    `json:"mismatched"`
	Dropped    int    `json:"dropped"`
	P50        int64  `json:"p50-us"`
	P90        int64  `json:"p90-us"`
	P99        int64  `json:"p99-us"`
	P999       int64  `json:"p999-us"`
	Max        int64  `json:"max-us"`
}

// JSON writes the report as one line of JSON with latencies in µs.
func (r Report) JSON(w io.Writer) error {
	var lines []jsonLine
	for _, l := range r.Lines {
		lines = append(lines, jsonLine{
			Way: l.Route, Service: l.Service, Kind: l.Kind, Answered: l.Answered, Failed: l.Failed, NotRun: l.NotRun,
			Unknown: l.Unknown, Mismatched: l.Mismatched, Dropped: l.Dropped, P50: l.P50.Microseconds(),
			P90: l.P90.Microseconds(), P99: l.P99.Microseconds(), P999: l.P999.Microseconds(), Max: l.Max.Microseconds(),
		})
	}
	return json.NewEncoder(w).Encode(struct {
		ElapsedMs int64      `json:"elapsed-ms"`
		Lines     []jsonLine `json:"lines"`
	}{r.Elapsed.Milliseconds(), lines})
}
