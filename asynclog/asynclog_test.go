package asynclog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/asynclog"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestRate guards against a log that grows with the load, and against lines that are suppressed without being counted.
func TestRate(t *testing.T) {
	Convey("Given 10,000 lines with one message and one line with another", t, func() {
		out := &syncBuffer{}
		writer := asynclog.New(out, logrus.InfoLevel)
		log := writer.Entry(logrus.Fields{"vm": "vm-1"})
		for range 10_000 {
			log.Info("request refused")
		}
		log.Info("rules in force")
		time.Sleep(100 * time.Millisecond)
		log.Info("request refused")
		writer.Close()
		lines := out.lines()
		So(len(lines), ShouldBeBetween, 100, 400)
		So(strings.Join(lines, "\n"), ShouldContainSubstring, "rules in force")
		So(lines[len(lines)-1], ShouldContainSubstring, `"suppressed":`)
	})
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlocked guards against callers that wait for a blocked output, and against a Close that keeps the process from ending.
func TestBlocked(t *testing.T) {
	Convey("Given an output that is blocked", t, func() {
		out := blockedWriter{make(chan struct{})}
		defer close(out.release)
		writer := asynclog.New(out, logrus.InfoLevel)
		start := time.Now()
		for i := range 2000 {
			writer.Entry(nil).Info(strings.Repeat("x", i%100))
		}
		writer.Close()
		So(time.Since(start), ShouldBeLessThan, 5*time.Second)
		So(writer.Dropped(), ShouldBeGreaterThan, 1000)
	})
}
