package route_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/route"
	"github.com/fulmarhitch/fulmarhitch/suspect"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const incarnation = 0xa1

// upstreams is a fake that returns the next result for each exchange and repeats the last one.
type upstreams struct {
	mu      sync.Mutex
	results []exchange.Result
	calls   int
	delay   time.Duration
	// do replaces the results if it is set.
	do func(r *request.Request) exchange.Result
}

func (u *upstreams) Do(_ context.Context, r *request.Request, _ declaration.Upstream, _ int) exchange.Result {
	if u.do != nil {
		return u.do(r)
	}
	time.Sleep(u.delay)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls++
	res := u.results[0]
	if len(u.results) > 1 {
		u.results = u.results[1:]
	}
	return res
}

// peersMu guards what the fakes of peers record; tables of tests copy the fakes.
var peersMu sync.Mutex

// peers is a fake that returns an outcome or an error for each call.
type peers struct {
	out   outcome.Outcome
	err   error
	calls []peerpb.RunRequest_Mode
	ids   []string
}

func (p *peers) Run(_ context.Context, _ string, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	peersMu.Lock()
	defer peersMu.Unlock()
	p.calls, p.ids = append(p.calls, m.GetMode()), append(p.ids, m.GetRequestId())
	if p.err != nil {
		return nil, p.err
	}
	return peer.EncodeOutcome(m.GetRequestId(), p.out, 0, 0), nil
}

var (
	answered  = exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: 200}}
	refused   = exchange.Result{Class: exchange.Refused, Outcome: outcome.NotRun{Reason: outcome.Refused}}
	unsent    = exchange.Result{Class: exchange.Unsent, Outcome: outcome.NotRun{Reason: outcome.Unreachable}}
	tooLate   = exchange.Result{Class: exchange.Unsent, Outcome: outcome.NotRun{Reason: outcome.DeadlineUnreachable}}
	lost      = exchange.Result{Class: exchange.Lost, Outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	died      = exchange.Result{Class: exchange.Died, Outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	timedOut  = exchange.Result{Class: exchange.TimedOut, Outcome: outcome.Unknown{Reason: outcome.Timeout}}
	truncated = exchange.Result{Class: exchange.Truncated, Outcome: outcome.Unknown{Reason: outcome.Truncated}}
)

var self = member.Member{Name: "e1", Incarnation: key.FormatIncarnation(incarnation), FailureDomain: "a",
	Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", State: member.Alive}

// other is an entry VM of the same failure domain. It is home of the group if self is not among the live members.
var other = member.Member{Name: "e2", Incarnation: key.FormatIncarnation(0xb2), FailureDomain: "a",
	Address: "127.0.0.1:3", PeerAddress: "127.0.0.1:4", State: member.Alive}

func declared() *declaration.Declaration {
	return &declaration.Declaration{
		MaxEntryVMs: 2, FailureDomains: []declaration.FailureDomain{{Name: "a", Region: "r"}}, Tenants: []string{"t"},
		Services: []declaration.Service{{
			Name: "s", Tenant: "t", Connections: 10, RetryRatio: 0.2, QueueLength: 100, LongShare: 1, MaxBody: 100, MaxAnswer: 100,
			Kinds: []declaration.Kind{
				{Name: "get", Class: "short", Idempotent: true, Weight: 1, Timeout: time.Second},
				{Name: "act", Class: "short", Weight: 1, Timeout: time.Second},
			},
			Upstreams: []declaration.Upstream{
				{Name: "u1", Address: "127.0.0.1:11", FailureDomain: "a", Slots: 2},
				{Name: "u2", Address: "127.0.0.1:12", FailureDomain: "a", Slots: 2},
			},
		}},
	}
}

// fixture is a router with fake upstreams and peers.
type fixture struct {
	router    *route.Router
	upstreams *upstreams
	peers     *peers
	groups    *group.Registry
	metrics   *metric.Metrics
	admit     outcome.Reason
}

// newFixture returns a router whose plan contains the live members.
func newFixture(live []member.Member, results ...exchange.Result) *fixture {
	f := &fixture{upstreams: &upstreams{results: results, delay: time.Millisecond}, peers: &peers{}, groups: group.New(1), metrics: metric.New()}
	f.router = route.New(route.Config{
		Incarnation: incarnation, Groups: f.groups, Upstreams: f.upstreams, Peers: f.peers,
		Suspects: suspect.New(func(*peerpb.Event) {}), Ledger: ledger.New(incarnation, 1000, time.Now()),
		Metrics: f.metrics, Sender: func() *peerpb.Sender { return &peerpb.Sender{} },
		Live:  func() []member.Member { return live },
		Admit: func() outcome.Reason { return f.admit }, Observed: func(string, string, upstream.State, time.Time) {},
	})
	p := plan.New(declared(), live, self)
	f.groups.Apply(p, time.Now())
	f.router.SetPlan(p)
	return f
}

// stop stops the dispatchers.
func (f *fixture) stop() {
	_ = f.groups.Stop(context.Background())
}

// fillRetryBudget runs enough requests for the retry budget to cover one retry.
func (f *fixture) fillRetryBudget() {
	results := f.upstreams.results
	f.upstreams.results = []exchange.Result{answered}
	for range 6 {
		f.router.Run(context.Background(), newRequest("get", key.Key{}))
	}
	f.upstreams.results, f.upstreams.calls = results, 0
}

func newRequest(kind string, k key.Key) *request.Request {
	r := &request.Request{ID: "r", Tenant: "t", Service: "s", Kind: kind, Class: "short", Method: "POST",
		Body: []byte(kind), Deadline: time.Now().Add(time.Second), Weight: 1, Idempotent: kind == "get"}
	if !r.Idempotent {
		r.Key = k.String()
	}
	return r
}

func ownKey() key.Key {
	return key.New(incarnation, time.Now().Add(key.Lifetime))
}

// TestOutcome guards against a request that runs more often than its kind allows, and against the outcome NotRun
// of a request that may have run.
func TestOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		kind    string
		results []exchange.Result
		want    outcome.Outcome
		calls   int
	}{
		"answered":                   {"act", []exchange.Result{answered}, answered.Outcome, 1},
		"act refused, then answered": {"act", []exchange.Result{refused, answered}, answered.Outcome, 2},
		"act refused twice":          {"act", []exchange.Result{refused, refused}, outcome.NotRun{Reason: outcome.Refused}, 2},
		"act unsent, then answered":  {"act", []exchange.Result{unsent, answered}, answered.Outcome, 2},
		"act late, not retried":      {"act", []exchange.Result{tooLate, answered}, tooLate.Outcome, 1},
		"act lost":                   {"act", []exchange.Result{lost, answered}, lost.Outcome, 1},
		"act died":                   {"act", []exchange.Result{died, answered}, died.Outcome, 1},
		"act truncated":              {"act", []exchange.Result{truncated, answered}, truncated.Outcome, 1},
		"act refused, then lost":     {"act", []exchange.Result{refused, lost}, lost.Outcome, 2},
		"get lost, then answered":    {"get", []exchange.Result{lost, answered}, answered.Outcome, 2},
		"get lost twice":             {"get", []exchange.Result{lost, lost}, lost.Outcome, 2},
		"get truncated, answered":    {"get", []exchange.Result{truncated, answered}, answered.Outcome, 2},
		"get timed out":              {"get", []exchange.Result{timedOut, answered}, timedOut.Outcome, 1},
		"get lost, then not run":     {"get", []exchange.Result{lost, refused}, outcome.Unknown{Reason: outcome.ConnectionLost}, 2},
		"get died, then unsent":      {"get", []exchange.Result{died, unsent}, outcome.Unknown{Reason: outcome.ConnectionLost}, 2},
		"get refused, then lost":     {"get", []exchange.Result{refused, lost}, lost.Outcome, 2},
		"get died, then answered":    {"get", []exchange.Result{died, answered}, answered.Outcome, 2},
		"get unsent, then refused":   {"get", []exchange.Result{unsent, refused}, outcome.NotRun{Reason: outcome.Refused}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(name, t, func() {
					f := newFixture([]member.Member{self}, c.results...)
					defer f.stop()
					f.fillRetryBudget()
					got := f.router.Run(context.Background(), newRequest(c.kind, ownKey()))
					So(kindOf(got), ShouldResemble, kindOf(c.want))
					So(f.upstreams.calls, ShouldEqual, c.calls)
				})
			})
		})
	}
}

// kindOf drops the details of an outcome.
func kindOf(out outcome.Outcome) outcome.Outcome {
	switch o := out.(type) {
	case outcome.NotRun:
		return outcome.NotRun{Reason: o.Reason}
	case outcome.Unknown:
		return outcome.Unknown{Reason: o.Reason}
	case outcome.Answered:
		return outcome.Answered{Status: o.Status}
	default:
		return out
	}
}

// TestKey guards against a non-idempotent request that runs twice under one key, or anywhere but at the incarnation
// that its key names.
func TestKey(t *testing.T) {
	otherKey := key.New(0xb2, time.Now().Add(time.Hour))
	for name, c := range map[string]struct {
		live  []member.Member
		peer  peers
		key   string
		admit outcome.Reason
		want  outcome.Outcome
		modes []peerpb.RunRequest_Mode
	}{
		"another incarnation": {[]member.Member{self, other}, peers{out: answered.Outcome}, otherKey.String(), "", answered.Outcome,
			[]peerpb.RunRequest_Mode{peerpb.RunRequest_MODE_KEY}},
		"another incarnation refuses": {[]member.Member{self, other}, peers{out: outcome.NotRun{Reason: outcome.KeyReused}}, otherKey.String(), "",
			outcome.NotRun{Reason: outcome.KeyReused}, []peerpb.RunRequest_Mode{peerpb.RunRequest_MODE_KEY}},
		"another incarnation unreachable": {[]member.Member{self, other}, peers{err: peer.ErrUnsent}, otherKey.String(), "",
			outcome.Unknown{Reason: outcome.HomeGone}, []peerpb.RunRequest_Mode{peerpb.RunRequest_MODE_KEY}},
		"another incarnation does not answer": {[]member.Member{self, other}, peers{err: errors.New("connection reset")}, otherKey.String(), "",
			outcome.Unknown{Reason: outcome.ConnectionLost}, []peerpb.RunRequest_Mode{peerpb.RunRequest_MODE_KEY}},
		"another incarnation gone": {[]member.Member{self}, peers{}, otherKey.String(), "", outcome.Unknown{Reason: outcome.HomeGone}, nil},
		"malformed":                {[]member.Member{self}, peers{}, "x", "", outcome.NotRun{Reason: outcome.BadRequest}, nil},
		"isolated":                 {[]member.Member{self}, peers{}, otherKey.String(), outcome.Isolated, outcome.Unknown{Reason: outcome.HomeGone}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(name, t, func() {
					f := newFixture(c.live, answered)
					defer f.stop()
					f.peers.out, f.peers.err, f.admit = c.peer.out, c.peer.err, c.admit
					req := newRequest("act", key.Key{})
					req.Key = c.key
					So(kindOf(f.router.Run(context.Background(), req)), ShouldResemble, c.want)
					So(f.peers.calls, ShouldResemble, c.modes)
					So(f.upstreams.calls, ShouldEqual, 0)
				})
			})
		})
	}
}

// TestSameKeyAtOnce guards against two runs of a key that arrives many times at once, or again with another body.
func TestSameKeyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given one key that arrives ten times at once", t, func() {
			f := newFixture([]member.Member{self}, answered)
			defer f.stop()
			k := ownKey()
			outs := make([]outcome.Outcome, 10)
			var all sync.WaitGroup
			for i := range outs {
				all.Go(func() { outs[i] = f.router.Run(context.Background(), newRequest("act", k)) })
			}
			all.Wait()
			for _, out := range outs {
				So(out, ShouldHaveSameTypeAs, outcome.Answered{})
			}
			So(f.upstreams.calls, ShouldEqual, 1)
			changed := newRequest("act", k)
			changed.Body = []byte("other")
			So(kindOf(f.router.Run(context.Background(), changed)), ShouldResemble, outcome.NotRun{Reason: outcome.KeyReused})
			So(f.upstreams.calls, ShouldEqual, 1)
		})
	})
}

// TestForward guards against a request that is lost or run twice between an entry VM and the home of its group.
func TestForward(t *testing.T) {
	for name, c := range map[string]struct {
		kind  string
		peer  peers
		want  outcome.Outcome
		calls int
	}{
		"home answers":                               {"act", peers{out: answered.Outcome}, answered.Outcome, 0},
		"home unreachable":                           {"act", peers{err: peer.ErrUnsent}, answered.Outcome, 1},
		"act, home does not answer":                  {"act", peers{err: errors.New("connection reset")}, outcome.Unknown{Reason: outcome.ConnectionLost}, 0},
		"home not ready":                             {"act", peers{out: outcome.NotRun{Reason: outcome.NotReady}}, answered.Outcome, 1},
		"home's queue full":                          {"act", peers{out: outcome.NotRun{Reason: outcome.QueueFull}}, outcome.NotRun{Reason: outcome.QueueFull}, 0},
		"get, home does not answer, no retry budget": {"get", peers{err: errors.New("connection reset")}, outcome.Unknown{Reason: outcome.ConnectionLost}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(name, t, func() {
					// The only home is another VM, as when this one is leaving.
					f := newFixture([]member.Member{other}, answered)
					defer f.stop()
					f.peers.out, f.peers.err = c.peer.out, c.peer.err
					So(kindOf(f.router.Run(context.Background(), newRequest(c.kind, ownKey()))), ShouldResemble, c.want)
					So(f.upstreams.calls, ShouldEqual, c.calls)
				})
			})
		})
	}
}

// TestBadRequest guards against upstreams that are ejected because a caller sends requests that can't be forwarded.
func TestBadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given bad requests in a row", t, func() {
			f := newFixture([]member.Member{self}, exchange.Result{Class: exchange.Unsent, Outcome: outcome.NotRun{Reason: outcome.BadRequest}})
			defer f.stop()
			for range 10 {
				So(f.router.Run(context.Background(), newRequest("get", key.Key{})), ShouldResemble, outcome.NotRun{Reason: outcome.BadRequest})
			}
			time.Sleep(time.Millisecond)
			So(f.upstreams.calls, ShouldEqual, 10)
			// All slots of both upstreams are free.
			So(f.groups.Loads()["s/a"][0], ShouldEqual, 4)
		})
	})
}

// TestAddedTime guards against a histogram of added time that stays empty or counts the upstream's time.
func TestAddedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a request that takes 1 ms at its upstream", t, func() {
			f := newFixture([]member.Member{self}, answered)
			defer f.stop()
			f.router.Run(context.Background(), newRequest("get", key.Key{}))
			families, err := f.metrics.Registry().Gather()
			So(err, ShouldBeNil)
			for _, family := range families {
				if family.GetName() != "fulmarhitch_added_seconds" {
					continue
				}
				So(family.GetMetric()[0].GetHistogram().GetSampleCount(), ShouldEqual, 1)
				So(family.GetMetric()[0].GetHistogram().GetSampleSum(), ShouldEqual, 0)
				return
			}
			So("fulmarhitch_added_seconds", ShouldBeEmpty)
		})
	})
}

// TestRefuse guards against the outcome NotRun for a key whose first request ran, from a VM that refuses requests or
// has another configuration by then, and against a late copy of a request that runs after its key was refused.
func TestRefuse(t *testing.T) {
	for name, c := range map[string]struct {
		used bool
		want outcome.Outcome
		// afterRecovery is the outcome of a copy of the request after the VM has recovered.
		afterRecovery outcome.Outcome
	}{
		"used key": {true, outcome.Unknown{Reason: outcome.KeyUsed}, outcome.Answered{Status: 200}},
		"new key":  {false, outcome.NotRun{Reason: outcome.Isolated}, outcome.NotRun{Reason: outcome.KeyReused}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(name, t, func() {
					f := newFixture([]member.Member{self}, answered)
					defer f.stop()
					k := ownKey()
					if c.used {
						f.router.Run(context.Background(), newRequest("act", k))
					}
					runs := f.upstreams.calls
					f.admit = outcome.Isolated
					So(kindOf(f.router.Run(context.Background(), newRequest("act", k))), ShouldResemble, c.want)
					f.admit = ""
					So(kindOf(f.router.Run(context.Background(), newRequest("act", k))), ShouldResemble, c.afterRecovery)
					So(f.upstreams.calls, ShouldEqual, runs)
				})
			})
		})
	}
}

// TestSpillAfterLost guards against an idempotent request that runs three times: once here, where its answer is lost, and twice at the
// home of another group, which doesn't know of the first attempt.
func TestSpillAfterLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := declared()
		d.FailureDomains = append(d.FailureDomains, declaration.FailureDomain{Name: "b", Region: "r"})
		d.Services[0].Upstreams = append(d.Services[0].Upstreams,
			declaration.Upstream{Name: "u3", Address: "127.0.0.1:13", FailureDomain: "b", Slots: 2},
			declaration.Upstream{Name: "u4", Address: "127.0.0.1:14", FailureDomain: "b", Slots: 2})
		remote := other
		remote.FailureDomain = "b"
		f := newFixture([]member.Member{self, remote}, lost)
		defer f.stop()
		p := plan.New(d, []member.Member{self, remote}, self)
		f.groups.Apply(p, time.Now())
		f.router.SetPlan(p)
		f.fillRetryBudget()
		f.peers.out = outcome.Answered{Status: 200}
		groups := p.Service("s").Groups
		runs := 0
		f.upstreams.do = func(r *request.Request) exchange.Result {
			if r.ID != "lost" {
				time.Sleep(300 * time.Millisecond)
				return answered
			}
			runs++
			time.Sleep(100 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { f.groups.Get(groups[0]).Report(groups[1].ID, 20, 0, time.Now()) })
			return lost
		}
		// Others wait for the slot that the lost attempt leaves, so that the retry has to wait too.
		var all sync.WaitGroup
		for i := range 12 {
			req := newRequest("get", key.Key{})
			if req.ID = "lost"; i > 0 {
				req.ID = fmt.Sprint(i)
			}
			all.Go(func() { f.router.Run(t.Context(), req) })
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		if len(f.peers.ids) == 0 {
			t.Error("nothing was sent to the other home")
		}
		if slices.Contains(f.peers.ids, "lost") {
			t.Errorf("sent to the home of another group after %d attempts here", runs)
		}
	})
}
