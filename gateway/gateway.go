package gateway

import (
	"context"
	"crypto/rand"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/asynclog"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/contact"
	"github.com/fulmarhitch/fulmarhitch/crash"
	"github.com/fulmarhitch/fulmarhitch/detour"
	"github.com/fulmarhitch/fulmarhitch/directory"
	"github.com/fulmarhitch/fulmarhitch/domaincost"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/head"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/membership"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/presence"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/ratelimit"
	"github.com/fulmarhitch/fulmarhitch/registration"
	"github.com/fulmarhitch/fulmarhitch/relay"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/sampler"
	"github.com/fulmarhitch/fulmarhitch/split"
	"github.com/fulmarhitch/fulmarhitch/telemetry"
	"github.com/fulmarhitch/fulmarhitch/throttle"
)

// Store holds the routing rules, the upstreams, the registrations and the crash reports.
type Store interface {
	mirror.Source
	registration.Store
	crash.Store
	membership.Store
	// Calls returns the number of calls by purpose.
	Calls() map[string]uint64
}

// Config holds the dependencies of a gateway.
type Config struct {
	Store Store
	// Decode decodes the store's entries.
	Decode func(e mirror.Entry, now time.Time) []mirror.Change
	// CallerDialect and UpstreamDialect are the dialects spoken with callers and with upstreams.
	CallerDialect   ingress.Dialect
	UpstreamDialect exchange.Dialect
	// Directory returns the handler for callers that look up addresses, and Readiness that for readiness checks of the VM.
	Directory func(find func(failureDomain, caller string) (directory.Answer, bool)) http.Handler
	Readiness func(isReady func() bool) http.Handler
	// Reload reads the current settings.
	Reload func() (*Settings, error)
	// Output receives the log.
	Output io.Writer
}

// Gateway is the process of an entry VM.
type Gateway struct {
	config    Config
	settings  atomic.Pointer[Settings]
	kernel    *kernel.Kernel
	logWriter *asynclog.Writer
	log       *logrus.Entry

	roster       *roster.Roster
	fleet        *fleet.Fleet
	conditions   *condition.Table
	notices      *notice.Table
	domainCosts  *domaincost.Table
	quotas       *quota.Keeper
	splitter     *split.Splitter
	retries      *forwarder.Retries
	bodies       *buffer.Budget
	heads        *head.Budget
	exchanger    *exchange.Exchanger
	sampler      *sampler.Sampler
	contact      *contact.Monitor
	detour       *detour.Detour
	mirror       *mirror.Mirror
	ingress      *ingress.Server
	registration *registration.Registration
	relay        *relay.Log
	crashGuard   *crash.Guard
	vms          *presence.Table
	membership   *membership.Membership
	peerClient   *relay.Client
	metrics      *telemetry.Metrics
	limiter      *ratelimit.Limiter
	leaving      atomic.Bool
	// labelled are the rules whose organisations the metrics label.
	labelled   atomic.Pointer[ruleset.Set]
	evacuation evacuation

	directoryAddress, readyAddress string
}

// listeners holds the listening sockets of a process.
type listeners struct {
	callers, peers, ready, directory, metrics net.Listener
}

// New returns a gateway with the settings. It opens the listening sockets, so that an address in use is detected before any
// service starts.
func New(s *Settings, c Config) (*Gateway, error) {
	g := &Gateway{
		config: c, kernel: kernel.New(), logWriter: asynclog.New(c.Output, s.LogLevel),
		roster: roster.New(), conditions: condition.New(), splitter: split.New(), retries: forwarder.NewRetries(s.RetryRatio),
		relay: relay.NewLog(),
	}
	g.settings.Store(s)
	g.log = g.logWriter.Entry(logrus.Fields{"vm": s.Name, "failure-domain": s.FailureDomain})
	g.domainCosts = domaincost.New()
	g.notices = notice.New(g.log)
	g.quotas = quota.New(s.Name, g.notices)
	l, err := listen(s)
	if err != nil {
		g.log.WithError(err).Error("failed to open the listeners; process ends")
		g.logWriter.Close()
		return nil, err
	}
	self := fleet.VM{
		Name: s.Name, Incarnation: rand.Text(), Address: l.callers.Addr().String(), FailureDomain: s.FailureDomain,
		LinkRate: s.LinkRate, HasOrganisations: true,
	}
	if l.peers != nil {
		self.PeerAddress = l.peers.Addr().String()
	}
	g.fleet = fleet.New(self)
	g.vms = presence.New(self, g.updateList, g.log)
	g.peerClient = relay.NewClient(g.vms)
	g.membership = membership.New(membership.Config{
		Store: c.Store, Decode: c.Decode, Fleet: g.fleet, Table: g.vms, IsReady: g.isReady, IsCutOff: g.isCutOff, Log: g.log,
		IsLost:   func(name, incarnation string) bool { return g.mirror.IsLost(name, incarnation) },
		StoreAge: func() time.Duration { return g.mirror.Age() },
		Seeds:    s.Seeds,
		Follow:   func(vm fleet.VM) mirror.Source { return relay.NewPeer(g.peerClient, vm.PeerAddress) },
	})
	g.directoryAddress, g.readyAddress = l.directory.Addr().String(), l.ready.Addr().String()
	g.registerServices(l)
	return g, nil
}

// listen opens all listening sockets, or none of them.
func listen(s *Settings) (l listeners, err error) {
	sockets := []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.Address}, {&l.peers, s.PeerAddress}, {&l.ready, s.ReadyAddress}, {&l.directory, s.DirectoryAddress}, {&l.metrics, s.MetricsAddress}}
	for i, p := range sockets {
		if p.address == "" {
			continue
		}
		if *p.listener, err = net.Listen("tcp", p.address); err == nil {
			continue
		}
		err = errors.Wrapf(err, "gateway: listen on %s", p.address)
		for _, open := range sockets[:i] {
			if *open.listener != nil {
				err = errors.CombineErrors(err, (*open.listener).Close())
			}
		}
		return listeners{}, err
	}
	return l, nil
}

// registerServices creates the services and registers them in the order of their start; they stop in reverse order.
func (g *Gateway) registerServices(l listeners) {
	s := g.settings.Load()
	g.bodies = buffer.ForProcess(s.Memory, s.BodyMemory, g.log)
	g.exchanger = exchange.NewWithDialect(g.connectionShare, g.config.UpstreamDialect, g.bodies)
	g.exchanger.SetPaused(func(upstream string) bool {
		return g.notices.IsPaused(upstream, time.Now()) || g.roster.IsEvacuated(upstream)
	})
	g.contact = contact.New(contact.Config{Known: g.roster.Len, Probe: g.probeUpstreams, OnChange: g.updateContact, Log: g.log})
	g.exchanger.SetObserver(g.contact)
	g.detour = detour.New(detour.Config{
		VM: s.Name, FailureDomain: s.FailureDomain, VMs: g.fleet.List, Dialect: g.config.UpstreamDialect, Bodies: g.bodies,
		Address: g.fleet.Self().Address, Log: g.log,
	})
	g.sampler = sampler.New(g.exchanger, g.conditions, g.notices, g.pollShare)
	g.crashGuard = crash.New(g.config.Store, g.log)
	g.mirror = mirror.New(mirror.Config{
		Store: g.config.Store, Decode: g.config.Decode, Sources: g.membership.Sources, Discover: g.membership.Discover,
		MayReadStore: g.membership.MayReadStore, Relay: g.relay, Roster: g.roster, Fleet: g.fleet, MaxKeyAge: s.MaxKeyAge(), OnChange: g.applyChange, Log: g.log,
		OnDeath: func(d mirror.DeathPut) {
			g.crashGuard.Learn(crash.Evidence{Fingerprints: d.Fingerprints, Features: d.Features}, d.Death)
		},
		OnAnswer: func(a mirror.AnswerPut) {
			g.crashGuard.LearnAnswer(crash.Evidence{Fingerprints: a.Fingerprints, Features: a.Features}, a.Answer)
		},
	})
	g.limiter = ratelimit.New(ratelimit.Config{
		Self: g.fleet.Self(), Relays: g.membership.Relays, VMs: g.sharers, IsSettled: func() bool { return len(g.fleet.Settled()) > 0 },
		Rules:     g.mirror.Rules,
		Tolerance: throttle.Config{Window: s.LimitWindow, Overage: s.LimitOverage, Slack: s.LimitSlack}, Log: g.log,
	})
	g.heads = newHeadBudget(s, g.log, func(reason string) { g.metrics.RefusedConnection(reason) })
	g.metrics = telemetry.New(g.metricSources())
	connections := maxConnections(s)
	directoryListener, readyListener := limitHeads(l.directory, g.heads, connections/directoryShare), limitHeads(l.ready, g.heads, connections/readinessShare)
	times := forwarder.NewTimes()
	g.ingress = ingress.New(l.callers, ingress.Config{
		VM: s.Name, Dialect: g.config.CallerDialect,
		Forwarder: forwarder.New(forwarder.Config{
			VM: s.Name, FailureDomain: s.FailureDomain, Roster: g.roster, Conditions: g.conditions, Notices: g.notices, Quotas: g.quotas, Transport: g.exchanger,
			HasIdle: func(u roster.Upstream) bool { return g.exchanger.HasIdle(u.Service, u.Address) },
			Sampler: g.sampler, Retries: g.retries, Times: times,
			Pressure: forwarder.NewPressure(), DomainCosts: g.domainCosts, Quarantine: g.crashGuard,
			Contact: g.contact, Detour: g.detour,
		}),
		Rules: g.mirror.Rules, Joined: g.mirror.Joined, RulesAge: g.mirror.Age, MaxRulesAge: s.RulesDelay,
		ConfirmedAge: g.mirror.ConfirmedAge, MaxKeyAge: s.MaxKeyAge(), IsVM: g.fleet.HasAddress, Limits: g.limiter, IsTooLate: times.IsTooLate, Bodies: g.bodies,
		Heads: g.heads, Connections: connections - connections/directoryShare - connections/readinessShare,
		Pick: g.splitter.Pick, Metrics: g.metrics, Log: g.log,
	})
	g.registration = registration.New(g.config.Store, g.fleet.Self(), g.membership.ShouldRegister, g.fleet.IsListed, func() uint64 { return g.mirror.Position().Era }, g.log)
	g.kernel.Register("mirror", g.mirror)
	g.kernel.Register("crash-reports", kernel.NewWorker(g.crashGuard.RunReports))
	g.kernel.Register("contact", kernel.NewWorker(g.contact.Run))
	g.kernel.Register("housekeeping", kernel.NewWorker(g.runHousekeeping))
	if l.metrics != nil {
		g.kernel.Register("metrics", newEndpoint(l.metrics, g.metrics.Handler(), maxQueryBytes))
	}
	if l.peers != nil {
		peers := http.NewServeMux()
		peers.Handle("/", relay.Handler(g.relay, g.vms))
		peers.Handle(ratelimit.Procedure, g.limiter.Handler())
		g.kernel.Register("relay", newEndpoint(l.peers, peers, maxReportBytes))
	}
	g.kernel.Register("limits", kernel.NewWorker(g.limiter.Run))
	g.kernel.Register("membership", g.membership)
	g.kernel.Register("ingress", g.ingress)
	g.kernel.Register("directory", newEndpoint(directoryListener, g.config.Directory(g.findAddresses), maxQueryBytes))
	g.kernel.Register("readiness", newEndpoint(readyListener, g.config.Readiness(g.isReady), maxQueryBytes))
	g.kernel.Register("registration", g.registration)
	g.divideLimits()
}

// metricSources returns the functions that supply the values of the metrics.
func (g *Gateway) metricSources() telemetry.Sources {
	return telemetry.Sources{
		RulesVersion: func() float64 {
			if set := g.mirror.Rules(); set != nil {
				return float64(set.Version)
			}
			return 0
		},
		StoreAge: func() float64 { return g.mirror.Age().Seconds() },
		Position: func() (era, revision float64) {
			p := g.mirror.Position()
			return float64(p.Era), float64(p.Revision)
		},
		Cold:     func() float64 { return float64(g.countCold()) },
		ColdHeld: func() float64 { return float64(g.quotas.Held()) },
		Evacuated: func() (domains, upstreams float64) {
			d, u := g.roster.Evacuated()
			return float64(d), float64(u)
		},
		Upstreams:  func() float64 { return float64(g.roster.Len()) },
		VMs:        func() float64 { return float64(len(g.fleet.List())) },
		Polls:      func() float64 { return float64(g.sampler.Polls()) },
		StoreCalls: g.config.Store.Calls,
		Notices:    g.notices.Counts,
		HasContact: func() float64 {
			if g.contact.IsLost() {
				return 0
			}
			return 1
		},
		Limits: func() telemetry.LimitStatus {
			s := g.limiter.Status()
			return telemetry.LimitStatus{
				Admitted: s.Admitted, Refused: s.Refused, RefusedLocal: s.RefusedLocal, Sent: s.Sent, Failed: s.Failed,
				ShareAge: s.ShareAge, Coordinates: s.Coordinates,
			}
		},
		HeadBytes:   func() float64 { return float64(g.heads.Used()) },
		Connections: func() float64 { return float64(g.ingress.Connections()) },
		BodyBytes:   func() float64 { return float64(g.bodies.Used()) },
		Evictions:   func() float64 { return float64(g.bodies.Evictions()) },
		LogDropped:  func() float64 { return float64(g.logWriter.Dropped()) },
	}
}

// isReady reports whether the VM serves callers.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.mirror.Rules() != nil && g.roster.Len() > 0
}

// isCutOff reports whether the VM reaches no upstream.
func (g *Gateway) isCutOff() bool {
	return g.contact.IsLost()
}

// updateList takes over the list that the VMs make of themselves.
func (g *Gateway) updateList(vms []fleet.VM) {
	g.fleet.SetPresent(vms)
	g.divideLimits()
}

// applyChange takes over a change of the mirrored entries.
func (g *Gateway) applyChange() {
	g.updateEvacuation()
	g.membership.Update(time.Now())
	g.divideLimits()
	if set := g.mirror.Rules(); set != nil && g.labelled.Swap(set) != set {
		g.metrics.SetOrganisations(organisationNames(set))
	}
}

// organisationNames returns the names of the organisations of the rules.
func organisationNames(set *ruleset.Set) []string {
	if set.Organisations == nil {
		return nil
	}
	return slices.Collect(maps.Keys(set.Organisations.All()))
}

// findAddresses returns the addresses for the caller in the failure domain, and reports whether there are any.
func (g *Gateway) findAddresses(failureDomain, caller string) (directory.Answer, bool) {
	if g.mirror.Rules() == nil {
		return directory.Answer{}, false
	}
	a := directory.New(g.fleet.Confirmed(), failureDomain, caller, g.settings.Load().AddressLifetime)
	return a, len(a.Addresses) > 0
}

// VM returns this process's VM as it is registered, with the addresses that it listens on.
func (g *Gateway) VM() fleet.VM { return g.fleet.Self() }

// DirectoryAddress returns the address for callers that look up addresses.
func (g *Gateway) DirectoryAddress() string { return g.directoryAddress }

// ReadyAddress returns the address for readiness checks.
func (g *Gateway) ReadyAddress() string { return g.readyAddress }

// Start starts the services and returns once they run; Close stops them.
func (g *Gateway) Start(ctx context.Context) error {
	return g.kernel.Launch(ctx)
}

// Close stops the services without a drain.
func (g *Gateway) Close(ctx context.Context) error {
	err := g.kernel.Stop(ctx)
	g.exchanger.Close()
	g.detour.Close()
	g.peerClient.Close()
	g.logWriter.Close()
	return err
}

// Run runs the process until it receives SIGTERM or SIGINT, or until a service fails.
func (g *Gateway) Run() error {
	s := g.settings.Load()
	app := kratos.New(
		kratos.ID(g.fleet.Self().Incarnation), kratos.Name("fulmarhitch"), kratos.Logger(asynclog.KratosLogger{Entry: g.log}),
		kratos.Server(g.kernel), kratos.Signal(syscall.SIGTERM, os.Interrupt), kratos.StopTimeout(s.StopTimeout),
		kratos.BeforeStop(g.Drain),
	)
	g.log.WithFields(logrus.Fields{"address": s.Address, "incarnation": g.fleet.Self().Incarnation}).Info("starting process")
	err := app.Run()
	g.log.Info("process ended")
	g.logWriter.Close()
	return err
}

const (
	// exitReserve is the part of the stop timeout reserved for the exit of the process after the drain.
	exitReserve = 500 * time.Millisecond
	// refusalPeriod is the last part of the stop timeout, in which new requests are refused so that those in progress can
	// end.
	refusalPeriod = 1800 * time.Millisecond
	// minDrainTime is the minimum time of a drain, for callers that still use addresses they looked up earlier.
	minDrainTime = 2500 * time.Millisecond
	// quietPeriod is the time without a request after which no more callers are expected.
	quietPeriod = time.Second
	// drainCheckInterval is the time between two checks of the requests in progress.
	drainCheckInterval = 20 * time.Millisecond
)

// Drain is the first part of a graceful shutdown. It tells callers to connect elsewhere, and still serves new requests that end
// within the stop timeout.
func (g *Gateway) Drain(ctx context.Context) error {
	start := time.Now()
	g.leaving.Store(true)
	g.membership.Leave()
	g.mirror.Interrupt()
	limit := g.settings.Load().StopTimeout
	g.ingress.Drain(start.Add(limit - exitReserve))
	g.log.Info("graceful shutdown started")
	go func() {
		if err := g.registration.Stop(ctx); err != nil {
			g.log.WithError(err).Warn("failed to remove the registration")
		}
	}()
	for {
		time.Sleep(drainCheckInterval)
		elapsed, running := time.Since(start), g.ingress.Running()
		if elapsed > limit-refusalPeriod {
			g.ingress.Refuse()
		}
		callersGone := elapsed > minDrainTime && running == 0 && g.ingress.SinceLastRequest() > quietPeriod
		requestsDone := elapsed > limit-refusalPeriod && running == 0
		if callersGone || requestsDone || elapsed > limit-exitReserve {
			g.log.WithFields(logrus.Fields{"running": running, "drained-ms": elapsed.Milliseconds()}).Info("drain ended")
			return nil
		}
	}
}
