package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/asynclog"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/configsync"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/frontend"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/route"
	"github.com/fulmarhitch/fulmarhitch/settings"
	"github.com/fulmarhitch/fulmarhitch/store"
	"github.com/fulmarhitch/fulmarhitch/suspect"
	"github.com/fulmarhitch/fulmarhitch/upstream"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// ledgerLimit bounds the request keys that one process records. A key takes about 100 bytes, so a full ledger leaves
	// most of a VM's 128 MB to the other control functions.
	ledgerLimit = 500_000
	// announcedCapacity bounds the announced generations that wait for the Syncer, which pulls the latest one in any case.
	announcedCapacity = 16
	// addressLifetimeMargin is added to the lifetime of address answers in a drain, for callers whose clocks run slowly.
	addressLifetimeMargin = time.Second
)

// Entry is an entry VM's process.
type Entry struct {
	settings    *settings.Settings
	log         *logrus.Entry
	incarnation uint64
	self        member.Member
	started     time.Time

	kernel   *kernel.Kernel
	holder   *generation.Holder
	gossip   *gossip.Gossip
	groups   *group.Registry
	ledger   *ledger.Ledger
	metrics  *metric.Metrics
	peers    *peer.Client
	exchange *exchange.Exchanger
	// bodies is the memory for the bodies of requests and answers.
	bodies     *buffer.Budget
	store      *store.Client
	vms        *vmlist.Client
	syncer     *configsync.Syncer
	router     *route.Router
	suspects   *suspect.Tracker
	frontend   *frontend.Server
	peerServer *peerServer
	readiness  readiness
	// announcing counts the suspected requests that are being announced to peers.
	announcing atomic.Int64
}

// New returns the process for the settings. It opens the two listening sockets, so that an address in use is an error
// before any service starts.
func New(s *settings.Settings, log *logrus.Entry) (*Entry, error) {
	callerListener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen for callers")
	}
	peerListener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "entry: listen for peers"), callerListener.Close())
	}
	e := &Entry{settings: s, log: log, incarnation: newIncarnation(), started: time.Now(), kernel: kernel.New()}
	e.self = member.Member{
		Name: s.Name, Incarnation: key.FormatIncarnation(e.incarnation), FailureDomain: s.FailureDomain,
		Address: callerListener.Addr().String(), PeerAddress: peerListener.Addr().String(),
	}
	e.build(callerListener, peerListener)
	return e, nil
}

// newIncarnation returns a random number that identifies this process in the fleet.
func newIncarnation() uint64 {
	var b [8]byte
	// Read never returns an error; it ends the process if the system's random source fails.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// build creates the services and registers them with the kernel.
func (e *Entry) build(callerListener, peerListener net.Listener) {
	e.holder = generation.New(declaration.Parse)
	e.metrics = metric.New()
	e.ledger = ledger.New(e.incarnation, ledgerLimit, e.started)
	e.peers = peer.New(peer.DefaultOptions())
	e.gossip = gossip.New(e.self, e.peers, gossip.DefaultOptions(), e.log)
	e.gossip.ApplyList(e.seeds())
	e.groups = group.New(e.incarnation)
	e.bodies = buffer.ForProcess(e.settings.Memory, e.settings.BodyMemory, e.log)
	e.exchange = exchange.NewWithBudget(e.connectionShare, e.bodies)
	e.store = store.New(e.settings.StoreAddress)
	e.vms = vmlist.New(e.settings.VMListAddress)
	e.suspects = suspect.New(e.announceSuspect)
	announced := ring.New[uint64](announcedCapacity)
	e.syncer = configsync.New(configsync.Config{
		Store: countingStore{e.store, e.metrics}, Holder: e.holder, IsWatcher: e.isWatcher, Announced: announced.Items(), Pull: e.pull, Log: e.log,
	})
	e.router = route.New(route.Config{
		Incarnation: e.incarnation, Groups: e.groups, Upstreams: e.exchange, Peers: e.peers, Suspects: e.suspects,
		Ledger: e.ledger, Metrics: e.metrics, Sender: e.gossip.Sender, Live: e.gossip.Live, Admit: e.admit,
		Observed: func(service, name string, s upstream.State, now time.Time) {
			e.observe(service, name, s, group.Exchange, now)
		},
	})
	e.frontend = e.newFrontend(callerListener)
	e.peerServer = newPeerServer(peerListener, peer.Hooks{
		Ping: e.gossip.Ping, Push: e.servePush, Compare: e.gossip.Compare, Pull: e.servePull, Run: e.router.Serve,
	}, e.log)
	e.register(announced)
}

// seeds returns the peers in the settings as seed members for gossip.
func (e *Entry) seeds() []member.Listed {
	var listed []member.Listed
	for _, address := range e.settings.Peers {
		listed = append(listed, member.Listed{Name: address, PeerAddress: address})
	}
	return listed
}

// connectionShare returns this VM's share of the connections to each upstream of the service.
func (e *Entry) connectionShare(service string) int {
	current := e.holder.Current()
	if current == nil {
		return 0
	}
	s := current.Declaration.Service(service)
	if s == nil {
		// Requests that were accepted under an earlier configuration with this service finish on one connection.
		return 1
	}
	return s.Connections / current.Declaration.MaxEntryVMs
}

// observe records the state of an upstream and publishes it to the peers if it changed.
func (e *Entry) observe(service, name string, s upstream.State, source group.Source, now time.Time) {
	if e.groups.Observe(service, name, s, source, now) {
		e.log.WithFields(logrus.Fields{"service": service, "upstream": name, "state": s}).Info("upstream state changed")
		e.publish(service, name, s)
	}
}

// Start starts the services and returns once they run; Close stops them.
func (e *Entry) Start(ctx context.Context) error {
	return e.kernel.Launch(ctx)
}

// Close stops the services without a drain and closes the connections.
func (e *Entry) Close(ctx context.Context) error {
	err := e.kernel.Stop(ctx)
	e.exchange.Close()
	e.peers.Close()
	e.store.Close()
	e.vms.Close()
	return err
}

// Member returns the identity and addresses of the process.
func (e *Entry) Member() member.Member {
	return e.self
}

// Run runs the process until it receives SIGTERM or SIGINT, or until a service fails.
func (e *Entry) Run() error {
	app := kratos.New(
		kratos.ID(e.self.Incarnation), kratos.Name("fulmarhitch"), kratos.Logger(asynclog.KratosLogger{Entry: e.log}),
		kratos.Server(e.kernel), kratos.Signal(syscall.SIGTERM, os.Interrupt),
		kratos.StopTimeout(e.settings.StopTimeout), kratos.BeforeStop(e.Drain),
	)
	e.log.WithFields(logrus.Fields{
		"address": e.self.Address, "peer-address": e.self.PeerAddress, "incarnation": e.self.Incarnation,
	}).Info("entry VM is starting")
	return app.Run()
}

// Drain is the first part of a graceful shutdown. Callers may cache an address answer for its lifetime, so the process
// keeps serving for that long, and then until the running requests have ended or StopTimeout has passed.
func (e *Entry) Drain(context.Context) error {
	e.gossip.Leave()
	lifetime := time.Duration(0)
	if current := e.holder.Current(); current != nil {
		lifetime = current.Declaration.AddressLifetime + addressLifetimeMargin
	}
	e.log.WithField("lifetime", lifetime.String()).Info("entry VM is draining")
	time.Sleep(lifetime)
	for end := time.Now().Add(e.settings.StopTimeout); e.frontend.Running()+e.peerServer.Running() > 0 && time.Now().Before(end); {
		time.Sleep(drainCheckInterval)
	}
	return nil
}

// drainCheckInterval is the time between two checks for running requests.
const drainCheckInterval = 20 * time.Millisecond
