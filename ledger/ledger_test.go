package ledger_test

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

const incarnation = 7

// makeKey returns the n-th key with the expiry.
func makeKey(n int, expiry time.Time) key.Key {
	k := key.Key{Incarnation: incarnation, Expiry: expiry.UnixMilli()}
	binary.LittleEndian.PutUint64(k.Random[:], uint64(n))
	return k
}

// TestBegin guards against a key that starts a second request and against a wrong refusal.
func TestBegin(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	k := makeKey(1, start.Add(time.Minute))
	foreign, far := k, makeKey(1, start.Add(181*time.Second))
	foreign.Incarnation++
	answer := func(n int) outcome.Outcome { return outcome.Answered{Status: 200, Body: bytes.Repeat([]byte("x"), n)} }
	cases := map[string]struct {
		finish      outcome.Outcome
		key         key.Key
		fingerprint uint64
		at          time.Duration
		want        ledger.Entry
	}{
		"new key":             {nil, makeKey(2, start.Add(time.Minute)), 1, 0, ledger.Started{}},
		"answer kept":         {answer(10), k, 1, 0, ledger.Finished{Outcome: answer(10)}},
		"answer too large":    {answer(4<<10 + 1), k, 1, 0, ledger.Finished{Outcome: outcome.Unknown{Reason: outcome.AnswerNotKept}}},
		"not run kept":        {outcome.NotRun{Reason: outcome.QueueFull}, k, 1, 0, ledger.Finished{Outcome: outcome.NotRun{Reason: outcome.QueueFull}}},
		"another body":        {answer(10), k, 2, 0, ledger.Refused{Reason: outcome.KeyReused}},
		"expired":             {answer(10), k, 1, time.Minute, ledger.Finished{Outcome: outcome.Unknown{Reason: outcome.KeyExpired}}},
		"expired and dropped": {answer(10), k, 1, time.Hour, ledger.Finished{Outcome: outcome.Unknown{Reason: outcome.KeyExpired}}},
		"clock set back":      {answer(10), k, 1, -time.Hour, ledger.Finished{Outcome: answer(10)}},
		"too far ahead":       {nil, far, 1, 0, ledger.Refused{Reason: outcome.BadRequest}},
		"another incarnation": {nil, foreign, 1, 0, ledger.Finished{Outcome: outcome.Unknown{Reason: outcome.HomeGone, Detail: "the key belongs to another incarnation"}}},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			l := ledger.New(incarnation, 10, start)
			So(l.Begin(k, 1, start), ShouldResemble, ledger.Started{})
			_, running := l.Begin(k, 1, start).(ledger.Running)
			So(running, ShouldBeTrue)
			if c.finish != nil {
				l.Finish(k, c.finish)
			}
			So(l.Begin(c.key, c.fingerprint, start.Add(c.at)), ShouldResemble, c.want)
		})
	}
}

// TestClock guards against an expired key that becomes valid again because the wall clock or the time passed in runs
// backwards.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := ledger.New(incarnation, 10, start)
		k := makeKey(1, start.Add(time.Second))
		l.Begin(k, 1, time.Now())
		running := l.Begin(k, 1, time.Now()).(ledger.Running)
		time.Sleep(20 * time.Second)
		l.Expire(time.Now())
		if l.Len() != 0 {
			t.Errorf("%d keys held after their expiry", l.Len())
		}
		// Waiters must be notified even if the request runs beyond the expiry of its key.
		<-running.Done
		back := start.Round(0)
		if _, finished := l.Begin(k, 1, back).(ledger.Finished); !finished || l.Now(back).Before(time.Now().Truncate(time.Millisecond)) {
			t.Error("an expired key is valid again after the clock is set back")
		}
		l.Finish(k, outcome.NotRun{})
	})
}

// TestLimit guards against a ledger that exceeds its limit of keys or bytes, or that does not release expired keys.
func TestLimit(t *testing.T) {
	Convey("keys", t, func() {
		start := time.UnixMilli(0)
		l := ledger.New(incarnation, 2, start)
		for n := range 2 {
			So(l.Begin(makeKey(n, start.Add(time.Second)), 1, start), ShouldResemble, ledger.Started{})
		}
		later := makeKey(2, start.Add(time.Minute))
		So(l.Begin(later, 1, start), ShouldResemble, ledger.Refused{Reason: outcome.LedgerFull})
		l.Expire(start.Add(20 * time.Second))
		So(l.Begin(later, 1, start), ShouldResemble, ledger.Started{})
	})
	Convey("bytes of answers", t, func() {
		start := time.UnixMilli(0)
		l := ledger.New(incarnation, 1<<20, start)
		body, kept := make([]byte, 4000), 0
		for n := range 10000 {
			k := makeKey(n, start.Add(time.Minute))
			l.Begin(k, 1, start)
			l.Finish(k, outcome.Answered{Body: body})
			if _, ok := l.Begin(k, 1, start).(ledger.Finished).Outcome.(outcome.Answered); ok {
				kept++
			}
		}
		So(kept*len(body), ShouldBeBetween, ledger.MaxKeptTotal*8/10, ledger.MaxKeptTotal+1)
	})
}

// TestConcurrent guards against two starts of one key when many goroutines call Begin concurrently.
func TestConcurrent(t *testing.T) {
	start := time.Now()
	l := ledger.New(incarnation, 1000, start)
	var starts atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for n := range 200 {
				k := makeKey(n, start.Add(time.Minute))
				switch e := l.Begin(k, 1, time.Now()).(type) {
				case ledger.Started:
					starts.Add(1)
					l.Finish(k, outcome.Answered{Header: http.Header{"A": {"b"}}})
				case ledger.Running:
					<-e.Done
				}
			}
		})
	}
	wg.Wait()
	if starts.Load() != 200 {
		t.Errorf("%d starts of 200 keys", starts.Load())
	}
}

// BenchmarkLedger measures the time of Begin and Finish and the bytes of each key with 1e6 keys held.
func BenchmarkLedger(b *testing.B) {
	const keys = 1_000_000
	for name, out := range map[string]outcome.Outcome{
		"not-run":      outcome.NotRun{Reason: outcome.QueueFull},
		"answer-1-KiB": outcome.Answered{Status: 200, Body: make([]byte, 1<<10), Header: http.Header{"Content-Type": {"a/b"}}},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				l := ledger.New(incarnation, keys, start)
				for n := range keys {
					k := makeKey(n, start.Add(time.Duration(60_000+n*60_000/keys)*time.Millisecond))
					l.Begin(k, 1, start)
					l.Finish(k, out)
				}
				b.ReportMetric(float64(time.Since(start).Nanoseconds())/keys, "ns/key")
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
				runtime.KeepAlive(l)
			}
		})
	}
}
