package logbook

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
	// linesPerSecond and burst limit the lines of one kind.
	linesPerSecond = 60
	burst          = 120
	// waiting is the number of lines that wait for the output; at about 600 bytes a line they take 300 KB.
	waiting = 512
	// closeTimeout bounds the wait for the output at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

// Book is the log of one process. It serves many goroutines.
type Book struct {
	logger  *logrus.Logger
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once

	json  logrus.JSONFormatter
	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limiter    *rate.Limiter
	suppressed int
}

// New returns a log that writes lines of the level and above to out; Close ends it.
func New(out io.Writer, level logrus.Level) *Book {
	b := &Book{
		out: out, lines: ring.New[[]byte](waiting), quit: make(chan struct{}), done: make(chan struct{}),
		json:  logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		kinds: make(map[string]*kind),
	}
	b.logger = &logrus.Logger{
		Out: writer{b}, Formatter: formatter{b}, Hooks: make(logrus.LevelHooks), Level: level, ExitFunc: func(int) {},
	}
	go b.write()
	return b
}

// Entry returns an entry to log with.
func (b *Book) Entry(fields logrus.Fields) *logrus.Entry {
	return b.logger.WithFields(fields)
}

// Dropped returns the number of lines lost because the output was blocked.
func (b *Book) Dropped() uint64 {
	return b.dropped.Load()
}

// Close writes the lines that wait, for a short time at most.
func (b *Book) Close() {
	b.once.Do(func() { close(b.quit) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// write is the duty that writes lines.
func (b *Book) write() {
	defer close(b.done)
	told := uint64(0)
	for {
		select {
		case line := <-b.lines.Items():
			_, _ = b.out.Write(line)
		case <-b.quit:
			for b.lines.Len() > 0 {
				_, _ = b.out.Write(<-b.lines.Items())
			}
			return
		}
		if n := b.dropped.Load(); n != told && b.lines.Len() == 0 {
			_, _ = fmt.Fprintf(b.out, `{"level":"warning","msg":"log lines were dropped","dropped":%d}`+"\n", n-told)
			told = n
		}
	}
}

// allow tells whether a line of the kind may be written, and how many before it were left out.
func (b *Book) allow(name string, now time.Time) (suppressed int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.kinds[name]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(linesPerSecond, burst)}
		b.kinds[name] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// formatter leaves out lines above the rate of their kind, which is their message.
type formatter struct {
	book *Book
}

// Format returns the line, or nothing for one that is left out.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, ok := f.book.allow(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if suppressed > 0 {
		e.Data["suppressed"] = suppressed
	}
	return f.book.json.Format(e)
}

// writer hands lines to the ring.
type writer struct {
	book *Book
}

// Write offers a copy of the line to the ring and never waits.
func (w writer) Write(line []byte) (int, error) {
	if len(line) > 0 && !w.book.lines.Offer(append([]byte(nil), line...)) {
		w.book.dropped.Add(1)
	}
	return len(line), nil
}
