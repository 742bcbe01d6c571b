package gateway

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/crash"
	"github.com/fulmarhitch/fulmarhitch/directory"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/logbook"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/registration"
	"github.com/fulmarhitch/fulmarhitch/relay"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/sampler"
	"github.com/fulmarhitch/fulmarhitch/split"
	"github.com/fulmarhitch/fulmarhitch/telemetry"
)

// Store is where the rules, the upstreams and the registrations are kept.
type Store interface {
	mirror.Source
	registration.Store
	crash.Store
}

// Config holds what a gateway is made of besides its settings.
type Config struct {
	Store Store
	// Decode reads the store's entries.
	Decode func(e mirror.Entry, now time.Time) []mirror.Change
	// Callers and Upstreams are the dialects to either side.
	Callers   ingress.Dialect
	Upstreams exchange.Dialect
	// Directory serves callers that ask for addresses, Readiness the checks of the VM.
	Directory func(find func(failureDomain string) (directory.Answer, bool)) http.Handler
	Readiness func(isReady func() bool) http.Handler
	// Reload returns the settings as they are now.
	Reload func() (*Settings, error)
	// Output takes the log.
	Output io.Writer
}

// Gateway is the process.
type Gateway struct {
	config   Config
	settings atomic.Pointer[Settings]
	kernel   *kernel.Kernel
	book     *logbook.Book
	log      *logrus.Entry

	roster     *roster.Roster
	fleet      *fleet.Fleet
	conditions *condition.Table
	splitter   *split.Splitter
	retries    *forwarder.Retries
	exchange   *exchange.Exchanger
	sampler    *sampler.Sampler
	mirror     *mirror.Mirror
	ingress    *ingress.Server
	register   *registration.Registration
	relay      *relay.Log
	crashes    *crash.Guard
	peers      *http.Client
	leaving    atomic.Bool

	directoryAddress, readyAddress string
}

// listeners are the open sockets of a process.
type listeners struct {
	callers, peers, ready, directory, metrics net.Listener
}

// New returns the process for the settings. It opens the listening sockets, so that a taken address is found before
// anything runs.
func New(s *Settings, c Config) (*Gateway, error) {
	g := &Gateway{
		config: c, kernel: kernel.New(), book: logbook.New(c.Output, s.LogLevel),
		roster: roster.New(), conditions: condition.New(), splitter: split.New(), retries: forwarder.NewRetries(s.RetryRatio),
		relay: relay.NewLog(), peers: relay.NewClient(),
	}
	g.settings.Store(s)
	g.log = g.book.Entry(logrus.Fields{"vm": s.Name, "failure-domain": s.FailureDomain})
	l, err := listen(s)
	if err != nil {
		g.log.WithError(err).Error("process can't start")
		g.book.Close()
		return nil, err
	}
	self := fleet.VM{
		Name: s.Name, Incarnation: rand.Text(), Address: l.callers.Addr().String(), FailureDomain: s.FailureDomain,
		LinkRate: s.LinkRate,
	}
	if l.peers != nil {
		self.PeerAddress = l.peers.Addr().String()
	}
	g.fleet = fleet.New(self)
	g.directoryAddress, g.readyAddress = l.directory.Addr().String(), l.ready.Addr().String()
	g.build(l)
	return g, nil
}

// listen opens the sockets, or none of them.
func listen(s *Settings) (l listeners, err error) {
	places := []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.Address}, {&l.peers, s.PeerAddress}, {&l.ready, s.ReadyAddress}, {&l.directory, s.DirectoryAddress}, {&l.metrics, s.MetricsAddress}}
	for i, p := range places {
		if p.address == "" {
			continue
		}
		if *p.listener, err = net.Listen("tcp", p.address); err == nil {
			continue
		}
		err = errors.Wrapf(err, "gateway: listen on %s", p.address)
		for _, open := range places[:i] {
			if *open.listener != nil {
				err = errors.CombineErrors(err, (*open.listener).Close())
			}
		}
		return listeners{}, err
	}
	return l, nil
}

// build makes the services and registers them in the order of their start; they stop in reverse.
func (g *Gateway) build(l listeners) {
	s := g.settings.Load()
	g.exchange = exchange.NewWithDialect(g.connections, g.config.Upstreams)
	g.sampler = sampler.New(g.exchange, g.conditions)
	g.crashes = crash.New(g.config.Store, g.log)
	g.mirror = mirror.New(mirror.Config{
		Store: g.config.Store, Decode: g.config.Decode, Peers: g.follow, Relay: g.relay, Roster: g.roster, Fleet: g.fleet,
		Changed: g.share, Log: g.log, Died: func(fingerprint, death uint64) {
			g.crashes.Learn(quarantine.Entry{Fingerprint: fingerprint, Death: death, At: time.Now()})
		},
	})
	metrics := telemetry.New(g.sources())
	g.ingress = ingress.New(l.callers, ingress.Config{
		Dialect: g.config.Callers,
		Forwarder: forwarder.New(forwarder.Config{
			VM: s.Name, FailureDomain: s.FailureDomain, Roster: g.roster, Conditions: g.conditions, Upstreams: g.exchange,
			Sampler: g.sampler, Retries: g.retries, Times: forwarder.NewTimes(),
			Pressure: forwarder.NewPressure(), Quarantine: g.crashes,
		}),
		Rules: g.mirror.Rules, RulesAge: g.mirror.Age, Pick: g.splitter.Pick, Metrics: metrics, Log: g.log,
	})
	g.register = registration.New(g.config.Store, g.fleet.Self(), g.isMember, g.fleet.IsListed, g.log)
	g.kernel.Register("mirror", g.mirror)
	g.kernel.Register("crash-reports", kernel.NewDuty(g.crashes.Report))
	g.kernel.Register("housekeeping", kernel.NewDuty(g.keepHouse))
	if l.metrics != nil {
		g.kernel.Register("metrics", newEndpoint(l.metrics, metrics.Handler()))
	}
	if l.peers != nil {
		g.kernel.Register("relay", newEndpoint(l.peers, relay.Handler(g.relay)))
	}
	g.kernel.Register("ingress", g.ingress)
	g.kernel.Register("directory", newEndpoint(l.directory, g.config.Directory(g.find)))
	g.kernel.Register("readiness", newEndpoint(l.ready, g.config.Readiness(g.isReady)))
	g.kernel.Register("registration", g.register)
	g.share()
}

// sources returns the values that the metrics read.
func (g *Gateway) sources() telemetry.Sources {
	return telemetry.Sources{
		RulesVersion: func() float64 {
			if set := g.mirror.Rules(); set != nil {
				return float64(set.Version)
			}
			return 0
		},
		StoreAge:   func() float64 { return g.mirror.Age().Seconds() },
		Upstreams:  func() float64 { return float64(g.roster.Len()) },
		VMs:        func() float64 { return float64(len(g.fleet.List())) },
		Questions:  func() float64 { return float64(g.sampler.Asked()) },
		LogDropped: func() float64 { return float64(g.book.Dropped()) },
	}
}

// isMember tells whether the VM registers itself. It does so before it knows upstreams: then all VMs of a fleet that starts
// hear of each other and of the upstreams at once, and only one of them goes on asking the store.
func (g *Gateway) isMember() bool {
	return !g.leaving.Load() && g.mirror.Rules() != nil
}

// isReady tells whether the VM serves callers.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.mirror.Rules() != nil && g.roster.Len() > 0
}

// follow returns the VMs to follow in place of the store; there are none if this VM watches it for others.
func (g *Gateway) follow() []mirror.Peer {
	var peers []mirror.Peer
	for _, vm := range g.fleet.Readers() {
		if vm.PeerAddress != "" {
			peers = append(peers, mirror.Peer{Name: vm.Name, Source: relay.NewPeer(g.peers, vm.PeerAddress)})
		}
	}
	return peers
}

// find returns the addresses for a caller.
func (g *Gateway) find(failureDomain string) (directory.Answer, bool) {
	if g.mirror.Rules() == nil {
		return directory.Answer{}, false
	}
	a := directory.New(g.fleet.List(), failureDomain, g.settings.Load().AddressLifetime)
	return a, len(a.Addresses) > 0
}

// VM returns the VM as it registers itself, with the addresses that it listens on.
func (g *Gateway) VM() fleet.VM { return g.fleet.Self() }

// DirectoryAddress returns the address for callers that ask for addresses.
func (g *Gateway) DirectoryAddress() string { return g.directoryAddress }

// ReadyAddress returns the address for readiness checks.
func (g *Gateway) ReadyAddress() string { return g.readyAddress }

// Start starts the services and returns once they run; Close ends them.
func (g *Gateway) Start(ctx context.Context) error {
	return g.kernel.Launch(ctx)
}

// Close ends the services without a drain.
func (g *Gateway) Close(ctx context.Context) error {
	err := g.kernel.Stop(ctx)
	g.exchange.Close()
	g.peers.CloseIdleConnections()
	g.book.Close()
	return err
}

// Run runs the process until it is told to stop by SIGTERM or SIGINT, or until a service fails.
func (g *Gateway) Run() error {
	s := g.settings.Load()
	app := kratos.New(
		kratos.ID(g.fleet.Self().Incarnation), kratos.Name("fulmarhitch"), kratos.Logger(logbook.Frame{Entry: g.log}),
		kratos.Server(g.kernel), kratos.Signal(syscall.SIGTERM, os.Interrupt), kratos.StopTimeout(s.StopTimeout),
		kratos.BeforeStop(g.Drain),
	)
	g.log.WithFields(logrus.Fields{"address": s.Address, "incarnation": g.fleet.Self().Incarnation}).Info("process starts")
	err := app.Run()
	g.log.Info("process ends")
	g.book.Close()
	return err
}

const (
	// stopMargin is kept from the stop timeout for the end of the process itself.
	stopMargin = 500 * time.Millisecond
	// refuseMargin is the part of the stop timeout in which new requests are refused, so that those in progress end.
	refuseMargin = 1800 * time.Millisecond
	// minDrain is the time for which callers that kept an older answer are served in any case.
	minDrain = 2500 * time.Millisecond
	// quietTime without a request shows that no caller comes any more.
	quietTime = time.Second
	// drainCheck is the time between two looks at the requests in progress.
	drainCheck = 20 * time.Millisecond
)

// Drain is the first part of a planned stop. Callers are told to go elsewhere, and those that still come are served
// until the end is near.
func (g *Gateway) Drain(ctx context.Context) error {
	began := time.Now()
	g.leaving.Store(true)
	g.fleet.Leave()
	g.ingress.Drain()
	g.log.Info("process stops as planned")
	go func() {
		if err := g.register.Stop(ctx); err != nil {
			g.log.WithError(err).Warn("registration not ended")
		}
	}()
	limit := g.settings.Load().StopTimeout
	for {
		time.Sleep(drainCheck)
		elapsed, running := time.Since(began), g.ingress.Running()
		if elapsed > limit-refuseMargin {
			g.ingress.Refuse()
		}
		quiet := elapsed > minDrain && running == 0 && g.ingress.Quiet() > quietTime
		over := elapsed > limit-refuseMargin && running == 0
		if quiet || over || elapsed > limit-stopMargin {
			g.log.WithFields(logrus.Fields{"running": running, "drained-ms": elapsed.Milliseconds()}).Info("drain has ended")
			return nil
		}
	}
}
