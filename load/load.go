package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Load is one run of the load generator.
type Load struct {
	config      Config
	caller      *caller.Caller
	direct      *http.Transport
	body        []byte
	totalWeight float64
	results     map[lineKey]*result
	inFlight    atomic.Int64
}

// Routes of a call to the upstream: through an entry VM or direct.
const (
	ViaEntry = "entry"
	Direct   = "direct"
)

// lineKey identifies one line of the report.
type lineKey struct {
	route string
	share int
}

// New checks the configuration and returns a run. The error contains all findings.
func New(config Config) (*Load, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.InFlight == 0 {
		config.InFlight = MaxInFlight
	}
	l := &Load{config: config, body: bytes.Repeat([]byte("x"), config.Body), results: make(map[lineKey]*result)}
	for i, s := range config.Mix {
		l.totalWeight += s.Weight
		for _, route := range l.routes() {
			l.results[lineKey{route, i}] = newResult()
		}
	}
	l.caller = caller.New(caller.Config{
		Entries: config.Entries, FailureDomain: config.FailureDomain, Token: config.Token, MaxConnections: 1024,
	})
	l.direct = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 1024}
	return l, nil
}

// routes returns the routes that successive calls take in turn.
func (l *Load) routes() []string {
	var routes []string
	if len(l.config.Entries) > 0 {
		routes = append(routes, ViaEntry)
	}
	if l.config.Direct != "" {
		routes = append(routes, Direct)
	}
	return routes
}

// Run generates load until the duration has passed or ctx is done, waits for the calls in progress and returns the
// report.
func (l *Load) Run(ctx context.Context) Report {
	defer l.caller.Close()
	defer l.direct.CloseIdleConnections()
	random := rand.New(rand.NewPCG(l.config.Seed, 0))
	routes := l.routes()
	start := time.Now()
	arrival := start
	var calls sync.WaitGroup
	for n := 0; ; n++ {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / l.config.Rate * float64(time.Second)))
		share := l.choose(random.Float64())
		if arrival.Sub(start) >= l.config.Duration || !sleepUntil(ctx, arrival) {
			break
		}
		key := lineKey{routes[n%len(routes)], share}
		if l.inFlight.Add(1) > int64(l.config.InFlight) {
			l.inFlight.Add(-1)
			l.results[key].drop()
			continue
		}
		scheduled := arrival
		calls.Go(func() {
			defer l.inFlight.Add(-1)
			l.call(ctx, key, scheduled)
		})
	}
	calls.Wait()
	return l.report(time.Since(start))
}

// choose returns the index of the share that contains the fraction, 0 to 1, of the cumulated weights.
func (l *Load) choose(fraction float64) int {
	rest := fraction * l.totalWeight
	for i, s := range l.config.Mix {
		if rest -= s.Weight; rest < 0 {
			return i
		}
	}
	return len(l.config.Mix) - 1
}

// sleepUntil sleeps until the time and reports whether it was reached before ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call sends one call and adds its outcome to the results.
func (l *Load) call(ctx context.Context, key lineKey, scheduled time.Time) {
	share := l.config.Mix[key.share]
	// Calls in progress finish even if the run is cancelled, so that each is counted with its real outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), scheduled.Add(share.Timeout))
	defer cancel()
	call := caller.Call{Service: share.Service, Kind: share.Kind, Path: l.config.Path, Idempotent: share.Idempotent}
	if !share.Idempotent {
		call.Body = l.body
	}
	var out outcome.Outcome
	if key.route == Direct {
		out = l.callDirect(ctx, call)
	} else {
		out = l.caller.Call(ctx, call)
	}
	l.results[key].add(out, time.Since(scheduled))
}
