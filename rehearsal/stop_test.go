package rehearsal

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

// load runs callers that send calls until stop is set, and collects their failures.
type load struct {
	stop     atomic.Bool
	callers  sync.WaitGroup
	calls    atomic.Int64
	mu       sync.Mutex
	failures []string
}

// startLoad starts callers for both kinds of requests with the addresses of the entry VMs.
func startLoad(entries []string) *load {
	l := &load{}
	for i := range 12 {
		l.callers.Go(func() {
			c := caller.New(caller.Config{Entries: entries})
			defer c.Close()
			for !l.stop.Load() {
				request := caller.Call{Service: "lookups", Kind: "lookup", Idempotent: true}
				if i%2 == 0 {
					request = caller.Call{Service: "lookups", Kind: "transfer", Body: []byte("x")}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				out := c.Call(ctx, request)
				l.calls.Add(1)
				cancel()
				if a, ok := out.(outcome.Answered); !ok || a.Status != http.StatusOK {
					l.report(fmt.Sprintf("%s: %#v", request.Kind, out))
				}
			}
		})
	}
	return l
}

// report records a failure.
func (l *load) report(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, failure)
}

// lookupFor sends lookups to one address for the duration, as a caller with a cached list of addresses does.
func (l *load) lookupFor(address string, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status, text := call(http.MethodGet, "http://"+address+"/v1/call/lookups/lookup/x", ""); status != http.StatusOK {
			l.report(fmt.Sprint("cached address: ", status, text))
		}
	}
}

// finish stops the callers, waits for them and returns their failures.
func (l *load) finish() []string {
	l.stop.Store(true)
	l.callers.Wait()
	return l.failures
}

// addressLifetime is the lifetime of an address answer in the operators' file.
const addressLifetime = time.Second

// stopEntryVM drains and closes an entry VM while a caller still uses its address.
func stopEntryVM(f *fleet, l *load, _ *child) {
	v := f.vms[0]
	l.callers.Go(func() { l.lookupFor(v.Member().Address, addressLifetime) })
	f.so(v.Drain(context.Background()), ShouldBeNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v.close.Do(func() { f.so(v.Close(ctx), ShouldBeNil) })
}

// TestPlannedStop guards against requests that a graceful shutdown interrupts or refuses: slow requests that run when it
// begins, calls of callers with a cached address answer, and all others.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *fleet, l *load, c *child){
		"entry VM": stopEntryVM,
		// Without stragglers, only the wait for the address lifetime keeps the VM from closing at once.
		"entry VM without stragglers": stopEntryVM,
		"process of an entry VM": func(f *fleet, l *load, c *child) {
			f.so(c.process.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			l.lookupFor(c.address, addressLifetime)
			f.so(<-c.exited, ShouldBeNil)
		},
		"upstream": func(f *fleet, l *load, _ *child) {
			u := f.upstreams[0]
			// Package caller retries a refused request; these callers don't.
			for i := range 8 {
				l.callers.Go(func() { l.lookupFor(f.vms[i%len(f.vms)].Member().Address, addressLifetime) })
			}
			time.Sleep(addressLifetime / 4)
			u.Drain()
			f.so(waitUntil(waitTimeout, func() bool { return u.Load().Running == 0 }), ShouldBeTrue)
			time.Sleep(drainTimeout)
			f.so(u.Load().Running, ShouldEqual, 0)
			time.Sleep(2 * time.Second) // time for the late answers of the stragglers
			f.so(u.Close(), ShouldBeNil)
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 4, func(f *fleet) {
				f.slots = 16
				for range 4 {
					f.addUpstream(server.Settings{Mean: 4 * time.Millisecond, Stragglers: true})
				}
			})
			c := f.startChild("e9", 0)
			f.so(waitUntil(waitTimeout, func() bool { return f.vms[0].sees("e9", "alive") && statusOf(lookupAt(c.address)) == http.StatusOK }), ShouldBeTrue)
			entries := []string{c.address}
			for _, v := range f.vms {
				entries = append(entries, v.Member().Address)
			}
			l := startLoad(entries)
			if name != "entry VM without stragglers" {
				f.startStragglers(l, entries)
			}
			stop(f, l, c)
			time.Sleep(500 * time.Millisecond) // time for callers to use their new addresses
			f.so(l.finish(), ShouldBeEmpty)
			t.Logf("%d calls", l.calls.Load())
			f.so(l.calls.Load(), ShouldBeGreaterThan, 100)
		})
	}
}

// lookupAt sends one lookup to the address and returns the status and text of the answer.
func lookupAt(address string) (int, string) {
	return call(http.MethodGet, "http://"+address+"/v1/call/lookups/lookup/x", "")
}

// startStragglers starts requests of 3.5 s, longer than the address lifetime, at each entry VM and returns once all run.
func (f *fleet) startStragglers(l *load, entries []string) {
	// setDelay sets the delay of all upstreams and returns how many requests they have run.
	setDelay := func(d time.Duration) (runs int) {
		for _, u := range f.upstreams {
			u.SetFaults(server.Faults{AnswerDelay: d})
			runs += u.Counters().Runs
		}
		return runs
	}
	before := setDelay(3500 * time.Millisecond)
	for _, address := range entries {
		for range 2 {
			l.callers.Go(func() {
				if status, text := lookupAt(address); status != http.StatusOK {
					l.report(fmt.Sprint("straggler: ", status, text))
				}
			})
		}
	}
	f.so(waitUntil(waitTimeout, func() bool {
		runs := 0
		for _, u := range f.upstreams {
			runs += u.Counters().Runs
		}
		// The requests of the 12 callers of the load are delayed too.
		return runs >= before+2*len(entries)+12
	}), ShouldBeTrue)
	setDelay(0)
}
