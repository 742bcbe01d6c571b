package configsync_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/configsync"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/store"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

func parse(string, []byte) (*declaration.Declaration, error) {
	return &declaration.Declaration{}, nil
}

// fleet is a set of VMs that announce generations to each other without loss or delay.
type fleet struct {
	platform *platform.Platform
	holders  []*generation.Holder
	syncers  []*configsync.Syncer
	rings    []*ring.Ring[uint64]
	client   *store.Client
	log      *logrus.Logger
	ctx      context.Context
	stop     func()
}

// newFleet starts vms VMs, the first of which are watchers. The platform must already hold their initial value.
func newFleet(p *platform.Platform, vms, watchers int) *fleet {
	f := &fleet{platform: p, client: store.NewWithTransport("store", p.Transport()), log: logrus.New()}
	f.log.SetOutput(io.Discard)
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithCancel(context.Background())
	var announcers sync.WaitGroup
	for i := range vms {
		f.holders = append(f.holders, generation.New(parse))
		f.rings = append(f.rings, ring.New[uint64](16))
		f.syncers = append(f.syncers, configsync.New(configsync.Config{
			Store: f.client, Holder: f.holders[i], IsWatcher: func() bool { return i < watchers },
			Announced: f.rings[i].Items(), Pull: f.pull, Log: f.log,
		}))
	}
	for i := range vms {
		announcers.Go(func() { f.announce(f.holders[i]) })
		So(f.syncers[i].Start(f.ctx), ShouldBeNil)
	}
	f.stop = func() {
		cancel()
		for _, r := range f.syncers {
			So(r.Stop(context.Background()), ShouldBeNil)
		}
		announcers.Wait()
	}
	return f
}

func (f *fleet) announce(h *generation.Holder) {
	for {
		changed := h.Changed()
		for _, r := range f.rings {
			r.Offer(h.Generation())
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *fleet) pull(_ context.Context, above uint64) ([]byte, error) {
	for _, h := range f.holders {
		if h.Generation() > above {
			return h.Current().Encoded()
		}
	}
	return nil, errors.New("no peer has a later generation")
}

// submit submits the next configuration file through the last VM.
func (f *fleet) submit(base uint64) {
	a := submission.New(f.client, f.holders[len(f.holders)-1], parse, func() uint64 { return 0 }, f.log)
	got := a.Submit(f.ctx, fmt.Appendf(nil, "text %d", base+1), base, fmt.Sprint("s", base+1))
	So(got, ShouldResemble, submission.Accepted{Generation: base + 1})
}

// generations returns the lowest and the highest generation in force.
func (f *fleet) generations() (lowest, highest uint64) {
	lowest = f.holders[0].Generation()
	for _, h := range f.holders {
		lowest, highest = min(lowest, h.Generation()), max(highest, h.Generation())
	}
	return lowest, highest
}

// stored returns the generation in the store.
func (f *fleet) stored() uint64 {
	data, _ := f.platform.Value(envelope.Key)
	e, err := envelope.Decode(data)
	So(err, ShouldBeNil)
	return e.Generation
}

// TestRollBack guards against a fleet that reverts when the store is rolled back, or that does not repair the store.
func TestRollBack(t *testing.T) {
	tests := map[string]struct {
		version uint64
		rewrite bool            // the old value is rewritten until it has the version of the newer one
		during  platform.Faults // while the value is rolled back
		after   platform.Faults // for 5 s after that
	}{
		"older value":         {version: 2},
		"no value":            {version: 0},
		"after an outage":     {version: 1, during: platform.Faults{Outage: true}},
		"same version":        {version: 1, rewrite: true, during: platform.Faults{Outage: true}},
		"repair answers lost": {version: 1, after: platform.Faults{LoseAnswers: true}},
		"repairs late":        {version: 1, after: platform.Faults{DelayWrites: time.Second}},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given generation 4 in force and a roll-back, "+name, t, func() {
				f := newFleet(platform.New(), 5, 2)
				defer f.stop()
				for g := range uint64(4) {
					f.submit(g)
				}
				time.Sleep(time.Second)
				f.platform.SetFaults(test.during)
				So(f.platform.RollBack(envelope.Key, test.version), ShouldBeNil)
				for v := test.version; test.rewrite && v < 4; v++ {
					old, _ := f.platform.Value(envelope.Key)
					f.platform.Put(envelope.Key, v, old)
				}
				time.Sleep(time.Minute)
				f.platform.SetFaults(test.after)
				time.Sleep(5 * time.Second)
				f.platform.SetFaults(platform.Faults{})
				time.Sleep(5 * time.Second)
				f.platform.Wait()
				So(f.stored(), ShouldEqual, 4)
				f.submit(4)
				time.Sleep(time.Second)
				lowest, highest := f.generations()
				So([]uint64{lowest, highest, f.stored()}, ShouldResemble, []uint64{5, 5, 5})
			})
		})
	}
}

// TestBehindPeers guards against a store that keeps a lower generation: the store does not change while a watcher learns
// of a later generation from its peers, so its watch reports nothing.
func TestBehindPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an idle store and a VM with a later generation", t, func() {
			f := newFleet(platform.New(), 3, 1)
			defer f.stop()
			f.submit(0)
			time.Sleep(time.Second)
			_, err := f.holders[2].Install(f.holders[0].Current().Envelope.Next("s2", []byte("text 2")))
			So(err, ShouldBeNil)
			time.Sleep(4 * time.Second)
			So(f.stored(), ShouldEqual, 2)
		})
	})
}

// TestStart guards against a VM that stops retrying if the store is down at its start, and against a time of the
// last contact that is set without contact with the store.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given VMs that start during an outage", t, func() {
			p := platform.New()
			data, err := envelope.Encode(envelope.Envelope{}.Next("s1", []byte("text 1")))
			So(err, ShouldBeNil)
			p.Put(envelope.Key, 0, data)
			p.SetFaults(platform.Faults{Outage: true})
			f := newFleet(p, 3, 0)
			defer f.stop()
			time.Sleep(time.Minute)
			So(f.syncers[0].LastContact().IsZero(), ShouldBeTrue)
			p.SetFaults(platform.Faults{})
			time.Sleep(4 * time.Second)
			lowest, _ := f.generations()
			So(lowest, ShouldEqual, 1)
			before := p.Counts().Total()
			time.Sleep(time.Minute)
			So(p.Counts().Total(), ShouldEqual, before)
		})
	})
}

// TestUnusable guards against an undecodable value that is installed, overwritten or read in a busy loop, and against a
// watcher that misses the next valid value.
func TestUnusable(t *testing.T) {
	for name, value := range map[string][]byte{
		"malformed": []byte("{"), "oversized": bytes.Repeat([]byte(" "), store.MaxValue+1),
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given a value that is "+name, t, func() {
				f := newFleet(platform.New(), 3, 1)
				defer f.stop()
				f.submit(0)
				time.Sleep(time.Second)
				next, err := envelope.Encode(f.holders[0].Current().Envelope.Next("s2", []byte("text 2")))
				So(err, ShouldBeNil)
				version, ok := f.platform.Put(envelope.Key, 1, value)
				So(ok, ShouldBeTrue)
				before := f.platform.Counts().Total()
				time.Sleep(time.Minute)
				So(f.platform.Counts().Total()-before, ShouldBeLessThan, 60)
				now, _ := f.platform.Value(envelope.Key)
				So(bytes.Equal(now, value), ShouldBeTrue)
				So(f.holders[0].Generation(), ShouldEqual, 1)
				f.platform.Put(envelope.Key, version, next)
				time.Sleep(4 * time.Second)
				lowest, _ := f.generations()
				So(lowest, ShouldEqual, 2)
			})
		})
	}
}

// TestPull guards against a VM that keeps an old generation after failed pulls, or that pulls without limit.
func TestPull(t *testing.T) {
	next, _ := envelope.Encode(envelope.Envelope{}.Next("s1", []byte("text")))
	for name, test := range map[string]struct {
		failures, pulls int
		generation      uint64
	}{"some fail": {3, 4, 1}, "all fail": {100, 8, 0}} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given an announced generation and pulls of which "+name, t, func() {
				pulls, announced, log := 0, make(chan uint64, 1), logrus.New()
				log.SetOutput(io.Discard)
				h := generation.New(parse)
				r := configsync.New(configsync.Config{
					Store:  store.NewWithTransport("store", platform.New().Transport()),
					Holder: h, Announced: announced, IsWatcher: func() bool { return false }, Log: log,
					Pull: func(context.Context, uint64) ([]byte, error) {
						if pulls++; pulls <= test.failures {
							return []byte("{"), nil
						}
						return next, nil
					},
				})
				So(r.Start(context.Background()), ShouldBeNil)
				announced <- 1
				time.Sleep(time.Minute)
				So(r.Stop(context.Background()), ShouldBeNil)
				So([]int{pulls, int(h.Generation())}, ShouldResemble, []int{test.pulls, int(test.generation)})
			})
		})
	}
}

// TestSocket guards against workers that behave differently over real sockets, and against goroutines that outlive
// Stop.
func TestSocket(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given a watcher and the platform on a socket", t, func() {
		p := platform.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		client := store.New(server.Listener.Addr().String())
		defer client.Close()
		log := logrus.New()
		log.SetOutput(io.Discard)
		h := generation.New(parse)
		r := configsync.New(configsync.Config{Store: client, Holder: h, IsWatcher: func() bool { return true }, Log: log})
		changed := h.Changed()
		So(r.Start(context.Background()), ShouldBeNil)
		data, err := envelope.Encode(envelope.Envelope{}.Next("s1", []byte("text")))
		So(err, ShouldBeNil)
		p.Put(envelope.Key, 0, data)
		<-changed
		So(h.Generation(), ShouldEqual, 1)
		So(r.Stop(context.Background()), ShouldBeNil)
	})
}

// TestStoreCalls guards against store calls that grow with the number of VMs.
func TestStoreCalls(t *testing.T) {
	const changes = 5
	type callCounts struct{ idle, perMinute, changed int }
	got := make(map[int]callCounts)
	// Two watchers for each of up to 3 failure domains; 4 VMs give one failure domain 2 watchers and two others 1 each.
	for vms, watchers := range map[int]int{4: 4, 16: 6, 64: 6} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("Given %d VMs with %d watchers", vms, watchers), t, func() {
				f := newFleet(platform.New(), vms, watchers)
				defer f.stop()
				f.submit(0)
				time.Sleep(4 * time.Second)
				count := func(minutes int) int {
					before := f.platform.Counts().Total()
					time.Sleep(time.Duration(minutes) * time.Minute)
					return f.platform.Counts().Total() - before
				}
				idle := count(10)
				before := f.platform.Counts().Total()
				for g := range uint64(changes) {
					f.submit(g + 1)
					time.Sleep(time.Millisecond)
					lowest, _ := f.generations()
					So(lowest, ShouldEqual, g+2)
				}
				got[vms] = callCounts{idle: idle, perMinute: idle / 10, changed: f.platform.Counts().Total() - before}
				t.Logf("%d VMs, %d watchers: %d store calls a minute when idle, %.1f for each change",
					vms, watchers, got[vms].perMinute, float64(got[vms].changed)/changes)
			})
		})
	}
	Convey("The calls of 64 VMs equal those of 16", t, func() {
		So(got[64], ShouldResemble, got[16])
	})
}
