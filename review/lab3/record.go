package lab3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Writef writes a line with the time since the start.
func (r *Record) Writef(format string, args ...any) {
	r.WriteAt(time.Now(), format, args...)
}

// WriteAt is like Writef for an event at the time.
func (r *Record) WriteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

// Printf writes a line to the file and to standard output.
func (r *Record) Printf(format string, args ...any) {
	r.Writef(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() {
	_ = r.file.Close()
}
