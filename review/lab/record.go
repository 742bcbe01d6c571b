package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of a case that tells what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.AddAt(time.Now(), format, args...)
}

// AddAt writes a line with the time of the event since the start.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// AddTraffic writes what was sent, answered and run.
func (r *Record) AddTraffic(attempts []Attempt, runs []Run) {
	for _, a := range attempts {
		end := fmt.Sprintf("answered %d", a.Status)
		if a.Err != nil {
			end = "no answer: " + a.Err.Error()
		}
		r.AddAt(a.Sent, "%s %s %s sent to %s, after %d ms %s", a.ID, a.Method, a.Target, a.Address, a.Ended.Sub(a.Sent).Milliseconds(), end)
	}
	for _, run := range runs {
		r.AddAt(run.At, "%s %s run by %s of %s", run.ID, run.Target, run.Instance, run.Service)
	}
}
