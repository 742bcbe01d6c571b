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

// load is callers that call until they are told to stop, and what went wrong for them.
type load struct {
	stop    atomic.Bool
	callers sync.WaitGroup
	calls   atomic.Int64
	mu      sync.Mutex
	wrong   []string
}

// startLoad starts callers of both kinds that know the entry VM addresses.
func startLoad(entries []string) *load {
	l := &load{}
	for i := range 12 {
		l.callers.Go(func() {
			c := caller.New(caller.Config{Entries: entries})
			defer c.Close()
			for !l.stop.Load() {
				what := caller.Call{Service: "lookups", Kind: "lookup", Idempotent: true}
				if i%2 == 0 {
					what = caller.Call{Service: "lookups", Kind: "transfer", Body: []byte("x")}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				out := c.Call(ctx, what)
				l.calls.Add(1)
				cancel()
				if a, ok := out.(outcome.Answered); !ok || a.Status != http.StatusOK {
					l.report(fmt.Sprintf("%s: %#v", what.Kind, out))
				}
			}
		})
	}
	return l
}

func (l *load) report(wrong string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, wrong)
}

// keep sends lookups to one address on new connections for a time, as a caller with an old address answer does.
func (l *load) keep(address string, lifetime time.Duration) {
	for end := time.Now().Add(lifetime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status, text := call(http.MethodGet, "http://"+address+"/v1/call/lookups/lookup/x", ""); status != http.StatusOK {
			l.report(fmt.Sprint("kept address: ", status, text))
		}
	}
}

// end stops the callers and returns what went wrong.
func (l *load) end() []string {
	l.stop.Store(true)
	l.callers.Wait()
	return l.wrong
}

// lifetime is that of an address answer in the file.
const lifetime = time.Second

func stopEntry(f *fleet, l *load, _ *child) {
	v := f.vms[0]
	l.callers.Go(func() { l.keep(v.Member().Address, lifetime) })
	f.so(v.Drain(context.Background()), ShouldBeNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v.close.Do(func() { f.so(v.Close(ctx), ShouldBeNil) })
}

// TestPlannedStop guards against requests that a planned stop cuts or refuses: stragglers that run when it begins,
// calls of callers with an old address answer, and all others.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *fleet, l *load, c *child){
		"entry VM": stopEntry,
		// Without stragglers only the wait for the lifetime keeps the VM from closing at once.
		"entry VM without stragglers": stopEntry,
		"process of an entry VM": func(f *fleet, l *load, c *child) {
			f.so(c.process.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			l.keep(c.address, lifetime)
			f.so(<-c.ended, ShouldBeNil)
		},
		"upstream": func(f *fleet, l *load, _ *child) {
			u := f.upstreams[0]
			// The callers' library sends a refused request again; these callers don't.
			for i := range 8 {
				l.callers.Go(func() { l.keep(f.vms[i%len(f.vms)].Member().Address, lifetime) })
			}
			time.Sleep(lifetime / 4)
			u.Drain()
			f.so(until(soon, func() bool { return u.Load().Running == 0 }), ShouldBeTrue)
			time.Sleep(leaving)
			f.so(u.Load().Running, ShouldEqual, 0)
			time.Sleep(2 * time.Second) // late answers of the stragglers
			f.so(u.Close(), ShouldBeNil)
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 4, func(f *fleet) {
				f.slots = 16
				for range 4 {
					f.upstream(server.Settings{Mean: 4 * time.Millisecond, Stragglers: true})
				}
			})
			c := f.child("e9", 0)
			f.so(until(soon, func() bool { return f.vms[0].sees("e9", "alive") && first(lookupAt(c.address)) == http.StatusOK }), ShouldBeTrue)
			entries := []string{c.address}
			for _, v := range f.vms {
				entries = append(entries, v.Member().Address)
			}
			l := startLoad(entries)
			if name != "entry VM without stragglers" {
				f.straggle(l, entries)
			}
			stop(f, l, c)
			time.Sleep(500 * time.Millisecond) // callers use their new addresses
			f.so(l.end(), ShouldBeEmpty)
			t.Logf("%d calls", l.calls.Load())
			f.so(l.calls.Load(), ShouldBeGreaterThan, 100)
		})
	}
}

func lookupAt(address string) (int, string) {
	return call(http.MethodGet, "http://"+address+"/v1/call/lookups/lookup/x", "")
}

// straggle starts requests of 3.5 s at each entry VM, longer than callers may keep an address, and returns when all run.
func (f *fleet) straggle(l *load, entries []string) {
	late := func(d time.Duration) (runs int) {
		for _, u := range f.upstreams {
			u.SetFaults(server.Faults{Late: d})
			runs += u.Counters().Runs
		}
		return runs
	}
	before := late(3500 * time.Millisecond)
	for _, address := range entries {
		for range 2 {
			l.callers.Go(func() {
				if status, text := lookupAt(address); status != http.StatusOK {
					l.report(fmt.Sprint("straggler: ", status, text))
				}
			})
		}
	}
	f.so(until(soon, func() bool {
		runs := 0
		for _, u := range f.upstreams {
			runs += u.Counters().Runs
		}
		// The other callers' requests are late too.
		return runs >= before+2*len(entries)+12
	}), ShouldBeTrue)
	late(0)
}
