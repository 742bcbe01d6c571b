package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/ring"
)

const (
	// linesPerSecond and burst limit the lines with the same message.
	linesPerSecond = 60
	burst          = 120
	// queueLength bounds the lines that wait for the output; at about 600 bytes a line they take 300 KB.
	queueLength = 512
	// closeTimeout bounds the time that Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Writer is the log of one process. It is safe for concurrent use.
type Writer struct {
	logger  *logrus.Logger
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	json   logrus.JSONFormatter
	mu     sync.Mutex
	limits map[string]*messageLimit
}

// messageLimit limits the rate of the lines with one message.
type messageLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

// New returns a log that writes lines of the given level and above to out until Close.
func New(out io.Writer, level logrus.Level) *Writer {
	w := &Writer{
		out: out, lines: ring.New[[]byte](queueLength), stop: make(chan struct{}), done: make(chan struct{}),
		json:   logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		limits: make(map[string]*messageLimit),
	}
	w.logger = &logrus.Logger{
		Out: queueWriter{w}, Formatter: formatter{w}, Hooks: make(logrus.LevelHooks), Level: level, ExitFunc: func(int) {},
	}
	go w.write()
	return w
}

// Entry returns a logrus entry with the fields.
func (w *Writer) Entry(fields logrus.Fields) *logrus.Entry {
	return w.logger.WithFields(fields)
}

// Dropped returns the number of lines lost because the output was blocked.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Close writes the queued lines and stops the log. It waits for the output for closeTimeout at most.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// write copies lines from the ring to the output until Close, and reports dropped lines once the ring is empty.
func (w *Writer) write() {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines.Items():
			_, _ = w.out.Write(line)
		case <-w.stop:
			for w.lines.Len() > 0 {
				_, _ = w.out.Write(<-w.lines.Items())
			}
			return
		}
		if n := w.dropped.Load(); n != reported && w.lines.Len() == 0 {
			_, _ = fmt.Fprintf(w.out, `{"level":"warning","msg":"log lines were dropped","dropped":%d}`+"\n", n-reported)
			reported = n
		}
	}
}

// allow reports whether a line with the message may be written, and how many were suppressed since the last one.
func (w *Writer) allow(message string, now time.Time) (suppressed int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.limits[message]
	if limit == nil {
		limit = &messageLimit{limiter: rate.NewLimiter(linesPerSecond, burst)}
		w.limits[message] = limit
	}
	if !limit.limiter.AllowN(now, 1) {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}

// formatter formats lines as JSON and suppresses those above the rate limit of their message.
type formatter struct {
	log *Writer
}

// Format returns the formatted line, or nil for a suppressed one.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, ok := f.log.allow(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if suppressed > 0 {
		e.Data["suppressed"] = suppressed
	}
	return f.log.json.Format(e)
}

// queueWriter queues lines in the ring.
type queueWriter struct {
	log *Writer
}

// Write queues a copy of the line, or counts it as dropped if the ring is full. It never blocks.
func (w queueWriter) Write(line []byte) (int, error) {
	if len(line) > 0 && !w.log.lines.Offer(append([]byte(nil), line...)) {
		w.log.dropped.Add(1)
	}
	return len(line), nil
}
