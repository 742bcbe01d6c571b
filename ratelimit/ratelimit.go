package ratelimit

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/coordination"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/gate"
	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/organisation"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/throttle"
	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// Procedure is the path of the call.
	Procedure = "/limits.v1/report"
	// callTimeout bounds a call, and dialTimeout its dial. Failure domains are 5 ms apart; a VM with a tenth of a core may take 100 ms.
	callTimeout = 400 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections to VMs that get no more reports.
	idleTimeout = 10 * time.Second
	// minWait is the shortest time between two checks of what is due.
	minWait = 10 * time.Millisecond
)

// Config holds the dependencies of a limiter.
type Config struct {
	// Self is this process's VM.
	Self fleet.VM
	// Relays returns the relays of the fleet, and VMs the number of VMs that share the limits, or 0 if it isn't known.
	Relays func() []fleet.VM
	VMs    func() int
	// IsSettled reports whether the fleet is known well enough to decide for it.
	IsSettled func() bool
	// Rules returns the routing rules in force, or nil if none are known.
	Rules func() *ruleset.Set
	// Tolerance states by how much limits may be exceeded in which window.
	Tolerance throttle.Config
	Log       *logrus.Entry
}

// Limiter bounds the requests of organisations over all VMs. It is safe for concurrent use.
type Limiter struct {
	config Config
	gate   *gate.Gate
	node   *coordination.Node
	http   *http.Client
	wake   chan struct{}

	mu sync.Mutex
	// limits are those of the rules in set.
	set    *ruleset.Set
	limits map[uint64]coordination.Limit
}

// New returns a limiter; Run exchanges its reports.
func New(c Config) *Limiter {
	l := &Limiter{config: c, wake: make(chan struct{}, 1)}
	now := time.Now()
	l.gate = gate.New(gate.Config{Window: c.Tolerance.Window, VMs: c.VMs, Wake: l.wakeUp}, now)
	l.node = coordination.New(coordination.Config{
		Self: c.Self, Reporter: uint64(rand.Uint32()), Relays: c.Relays, IsSettled: c.IsSettled, Limits: l.currentLimits, Throttle: c.Tolerance,
		Gate: l.gate, Log: c.Log,
	}, now)
	l.http = &http.Client{Timeout: callTimeout, Transport: &limit.Transport{MaxBody: maxMessage, Base: bareTransport{&http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: limit.MaxHeaderBytes,
	}}}}
	return l
}

// bareTransport sends requests without the headers that no VM needs. They are longer than many reports.
type bareTransport struct {
	*http.Transport
}

// RoundTrip sends the request and returns the answer.
func (t bareTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept-Encoding")
	// An empty value suppresses the default one.
	r.Header["User-Agent"] = []string{""}
	return t.Transport.RoundTrip(r)
}

// Admit counts a request of the organisation and reports whether it is within the limit, else after what time to return.
func (l *Limiter) Admit(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration) {
	return l.gate.Admit(o, now)
}

// AdmitLate is like Admit for a request that can't be answered in time any more, which is refused while the organisation is limited.
func (l *Limiter) AdmitLate(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration) {
	return l.gate.AdmitLate(o, now)
}

// Return takes back a request that was admitted at the time and did not run.
func (l *Limiter) Return(o *organisation.Organisation, admitted time.Time) {
	l.gate.Return(o, admitted)
}

// currentLimits returns the limits of the rules in force by the identifiers of the organisations.
func (l *Limiter) currentLimits() map[uint64]coordination.Limit {
	set := l.config.Rules()
	l.mu.Lock()
	defer l.mu.Unlock()
	if set == l.set {
		return l.limits
	}
	l.set, l.limits = set, make(map[uint64]coordination.Limit)
	if set == nil || set.Organisations == nil {
		return l.limits
	}
	for _, o := range set.Organisations.All() {
		if o.Rate > 0 {
			l.limits[usage.ID(o.Name)] = coordination.Limit{Organisation: o.Name, Limit: throttle.Limit{Rate: o.Rate, Burst: o.Burst}}
		}
	}
	return l.limits
}

// wakeUp makes the next report due early.
func (l *Limiter) wakeUp(isSudden bool) {
	l.node.Wake(isSudden)
	l.notify()
}

func (l *Limiter) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context is done.
func (l *Limiter) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	defer l.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		for _, c := range l.node.Poll(time.Now()) {
			calls.Go(func() {
				answer, err := l.call(ctx, c)
				l.node.Done(c, answer, err, time.Now())
				l.notify()
			})
		}
		timer.Reset(max(time.Until(l.node.Next()), minWait))
	}
}

// call sends a report.
func (l *Limiter) call(ctx context.Context, c coordination.Call) (coordination.Answer, error) {
	client := connect.NewClient[wireReport, wireAnswer](
		l.http, "http://"+c.To.PeerAddress+Procedure, connect.WithCodec(codec{}), connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	)
	resp, err := client.CallUnary(ctx, connect.NewRequest(encodeRequest(c.Request)))
	if err != nil {
		return coordination.Answer{}, errors.Wrap(err, "ratelimit")
	}
	return decodeAnswer(resp.Msg)
}

// Handler answers the reports of other VMs.
func (l *Limiter) Handler() http.Handler {
	h := connect.NewUnaryHandler(Procedure, func(_ context.Context, req *connect.Request[wireReport]) (*connect.Response[wireAnswer], error) {
		r, err := decodeRequest(req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		answer := l.node.Handle(r, time.Now())
		// The report may make this VM's own due.
		l.notify()
		return connect.NewResponse(encodeAnswer(answer)), nil
	}, connect.WithCodec(codec{}), connect.WithCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No VM reads the date, which is longer than most answers.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Status holds the values of the metrics.
type Status struct {
	coordination.Status
	// Admitted and Refused are the numbers of requests of organisations with limits, and RefusedLocal that of those refused without a
	// valid share.
	Admitted, Refused, RefusedLocal uint64
	// ShareAge is the time since the call that brought the last share was sent, or -1 if there was none.
	ShareAge time.Duration
}

// Status returns the values of the metrics.
func (l *Limiter) Status() Status {
	now := time.Now()
	s := Status{Status: l.node.Status(now), ShareAge: -1}
	s.Admitted, s.Refused, s.RefusedLocal = l.gate.Totals()
	if age, _ := l.gate.ShareAge(now); age > 0 {
		s.ShareAge = age
	}
	return s
}
