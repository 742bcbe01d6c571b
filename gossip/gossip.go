package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/ring"
)

// Transport sends messages to a peer address. It is implemented by *peer.Client.
type Transport interface {
	Ping(ctx context.Context, address string, m *peerpb.PingRequest) (*peerpb.PingResponse, error)
	Push(ctx context.Context, address string, m *peerpb.PushRequest) (*peerpb.PushResponse, error)
	Compare(ctx context.Context, address string, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error)
}

// Options configures the intervals and timeouts of a Gossip and the seed of its random choices.
type Options struct {
	// PingInterval is the interval at which pings are sent. PingTimeout and IndirectTimeout bound a direct ping and a
	// ping through another member.
	PingInterval, PingTimeout, IndirectTimeout time.Duration
	// CompareInterval is the time between comparisons with a random peer.
	CompareInterval time.Duration
	// PushDelay is the time for which events are collected before a push, so that events of one cause share messages.
	PushDelay time.Duration
	// Times are the durations of the member table.
	Times member.Times
	// Seed makes the random choices reproducible.
	Seed uint64
}

// DefaultOptions returns the default options with a random seed. PingInterval is 250 ms, because with random choices of
// the VMs, the probability that none pings a dead member during an interval is 1/e, and with 500 ms the VMs did not
// agree within 4 s on the loss of five VMs at once.
func DefaultOptions() Options {
	return Options{
		PingInterval: 250 * time.Millisecond, PingTimeout: 200 * time.Millisecond, IndirectTimeout: 300 * time.Millisecond,
		CompareInterval: 10 * time.Second, PushDelay: 10 * time.Millisecond, Times: member.DefaultTimes(), Seed: rand.Uint64(),
	}
}

const (
	// indirectPings is the number of members that are asked to ping a member that did not answer.
	indirectPings = 3
	// fanOut is the number of peers that get a push.
	fanOut = 3
	// maxPushes bounds the concurrent pushes; a push to a peer that does not answer takes PingTimeout.
	maxPushes = 32
	// pushQueueSize is the number of events that may wait for a push.
	pushQueueSize = 4096
	// maxSlowness bounds the slowness of this VM.
	maxSlowness = 8
	// pushBatch bounds the events of one push.
	pushBatch = 256
)

// Gossip is the kernel service "gossip". It is safe for concurrent use.
type Gossip struct {
	transport Transport
	options   Options
	log       logrus.FieldLogger

	mu          sync.Mutex
	table       *member.Table
	events      *eventTable
	broadcasts  broadcasts
	subscribers []*subscriber
	generation  uint64            // in force on this VM
	generations map[string]uint64 // in force on peers, by name
	lastContact time.Time
	rnd         *rand.Rand
	probing     map[string]bool // by peer address
	pushProbed  bool            // a failed push has caused a probe in this interval
	// slowness rises with each probe to which neither the member nor a helper answers, and falls with each answered ping. It
	// stretches the intervals and timeouts of pings.
	slowness int
	replaced bool

	pushes  *ring.Ring[*peerpb.Event]
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New returns a Gossip for the VM self. All fields of self except State, Counter and IsLeaving must be set.
func New(self member.Member, t Transport, o Options, log logrus.FieldLogger) *Gossip {
	now := time.Now()
	rnd := rand.New(rand.NewPCG(o.Seed, 0x676f73736970))
	return &Gossip{
		transport: t, options: o, log: log,
		table:       member.New(self, o.Times, rnd, now),
		events:      newEventTable(),
		broadcasts:  broadcasts{pending: make(map[string]*broadcast)},
		generations: make(map[string]uint64), lastContact: now, rnd: rnd, probing: make(map[string]bool),
		pushes: ring.New[*peerpb.Event](pushQueueSize),
	}
}

// Start starts the workers.
func (g *Gossip) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, worker := range []func(context.Context){g.pingLoop, g.pushLoop, g.compareLoop} {
		g.workers.Go(func() { worker(ctx) })
	}
	return nil
}

// Stop stops the workers and waits until they have ended or ctx is done.
func (g *Gossip) Stop(ctx context.Context) error {
	if g.cancel == nil {
		return nil
	}
	g.cancel()
	done := make(chan struct{})
	go func() {
		g.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Live returns the VMs that may be alive, including this VM and leaving ones, sorted by name.
func (g *Gossip) Live() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Live()
}

// MaxLive returns the number of VMs that may be alive, including this VM and the listed VMs whose answers are still awaited.
func (g *Gossip) MaxLive() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MaxLive()
}

// Members returns this VM and every VM of which gossip was received, including dead ones, sorted by name.
func (g *Gossip) Members() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// NumOthers returns the number of other VMs known by gossip or from a list. A VM that knows no others is not isolated.
func (g *Gossip) NumOthers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.NumOthers()
}

// Replaced reports whether another process has taken over this VM's name. This process then no longer takes part in the
// gossip.
func (g *Gossip) Replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Replaced()
}

// ApplyList applies the VM list or the peers of the settings to the member table.
func (g *Gossip) ApplyList(listed []member.Listed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ApplyList(listed)
}

// Publish spreads an event observed by this VM. An upstream event with version 0 gets the next version and this VM as
// its observer; it is dropped if the upstream is already known to be in that state.
func (g *Gossip) Publish(e *peerpb.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := e.GetUpstream(); u != nil && u.GetVersion() == 0 {
		known, ok := g.events.upstreams[upstreamKey{u.GetService(), u.GetUpstream()}]
		if ok && known.event.GetState() == u.GetState() {
			return
		}
		e = upstreamEvent(&peerpb.UpstreamEvent{
			Service: u.GetService(), Upstream: u.GetUpstream(), State: u.GetState(),
			Version: known.event.GetVersion() + 1, Observer: g.table.Self().Name,
		})
	}
	g.apply([]*peerpb.Event{e}, time.Now(), false)
}

// Subscribe returns a channel of the events from peers that are new to this VM. A receiver that falls behind by more
// events than the ring holds gets only the latest event of each key (a member, an upstream, a death or the generation).
// The channel is never closed.
func (g *Gossip) Subscribe() <-chan *peerpb.Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := newSubscriber()
	g.subscribers = append(g.subscribers, s)
	return s.ring.Items()
}

// SetGeneration sets the generation that is in force on this VM and announces it to peers. A generation that is not
// higher than the previous one is ignored.
func (g *Gossip) SetGeneration(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n <= g.generation {
		return
	}
	g.generation = n
	g.apply([]*peerpb.Event{generationEvent(n, g.table.Self().Name)}, time.Now(), false)
}

// Generations returns the last known generations in force by VM name, including this VM.
func (g *Gossip) Generations() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := map[string]uint64{g.table.Self().Name: g.generation}
	for _, m := range g.table.Live() {
		if n, ok := g.generations[m.Name]; ok {
			all[m.Name] = n
		}
	}
	return all
}

// LastContact returns the time of the last message from a peer, or the time of New if there was none.
func (g *Gossip) LastContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastContact
}

// Leave announces a graceful shutdown. The workers run until Stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spread(memberEvent(g.table.Leave()), false)
}

// Sender returns the identity that is sent with this VM's messages.
func (g *Gossip) Sender() *peerpb.Sender {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sender()
}

func (g *Gossip) sender() *peerpb.Sender {
	self := g.table.Self()
	return &peerpb.Sender{
		Name: self.Name, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain, Generation: g.generation,
	}
}

// applyMessage applies the sender and the events of a peer's message. A malformed message changes nothing.
func (g *Gossip) applyMessage(s *peerpb.Sender, events []*peerpb.Event, now time.Time) error {
	if err := peer.CheckSender(s); err != nil {
		return err
	}
	if err := peer.CheckEvents(events); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(events, now, true)
	if s.GetName() == g.table.Self().Name {
		return nil
	}
	g.lastContact = now
	if m, ok := g.table.Get(s.GetName()); ok && m.Incarnation == s.GetIncarnation() {
		g.generations[s.GetName()] = s.GetGeneration()
	}
	if s.GetGeneration() > 0 {
		g.apply([]*peerpb.Event{generationEvent(s.GetGeneration(), s.GetName())}, now, true)
	}
	return nil
}

// apply applies events and spreads those that are new, also to subscribers if notify is set. The caller must hold g.mu.
func (g *Gossip) apply(events []*peerpb.Event, now time.Time, notify bool) {
	for _, e := range events {
		isNew := false
		switch k := e.GetKind().(type) {
		case *peerpb.Event_Member:
			m := memberOf(k.Member)
			previous, known := g.table.Get(m.Name)
			for _, update := range g.table.Apply(m, now) {
				if !known || previous.Incarnation != update.Incarnation {
					delete(g.generations, update.Name)
				}
				g.spreadMember(update, m, previous, notify)
			}
			g.logReplaced()
		case *peerpb.Event_Upstream:
			isNew = g.events.applyUpstream(k.Upstream, now)
		case *peerpb.Event_Suspect:
			isNew = g.events.applySuspect(k.Suspect, now)
		case *peerpb.Event_Generation:
			isNew = g.events.applyGeneration(k.Generation)
		}
		if isNew {
			g.spread(e, notify)
		}
	}
}

// logReplaced logs once that another process has taken over this VM's name.
func (g *Gossip) logReplaced() {
	if !g.replaced && g.table.Replaced() {
		g.replaced = true
		g.log.WithField("name", g.table.Self().Name).Error("another process took over this VM's name")
	}
}

// spreadMember spreads update, the state that follows from the received state; previous is the state before that.
// Suspicions and their refutations do not change which members are usable. They are sent only on pings, because on a
// lossy network each lost push of one would cause the next.
func (g *Gossip) spreadMember(update, received, previous member.Member, notify bool) {
	e := memberEvent(update)
	refuted := update.State == member.Alive && update.Incarnation == previous.Incarnation &&
		previous.State <= member.Suspect && received.State != member.Dead && previous.State != member.Candidate
	if update.State == member.Suspect || refuted {
		g.broadcasts.add(e)
		g.notify(e, notify)
		return
	}
	g.spread(e, notify)
}

// spread sends an event that is new to this VM to random peers and on pings, and to subscribers if notify is set.
func (g *Gossip) spread(e *peerpb.Event, notify bool) {
	g.broadcasts.add(e)
	// If the ring is full, the event is still sent on pings and in comparisons.
	g.pushes.Offer(e)
	g.notify(e, notify)
}

// notify delivers the event to subscribers if enabled is set.
func (g *Gossip) notify(e *peerpb.Event, enabled bool) {
	if enabled {
		for _, s := range g.subscribers {
			s.deliver(e)
		}
	}
}

// state returns the whole state as events. The caller must hold g.mu.
func (g *Gossip) state(now time.Time) []*peerpb.Event {
	all := g.events.events(now)
	for _, m := range g.table.All() {
		all = append(all, memberEvent(m))
	}
	return all
}

// Upstream returns the last known state of the upstream, and whether there is one.
func (g *Gossip) Upstream(service, upstream string) (peerpb.UpstreamEvent_State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.events.upstreams[upstreamKey{service, upstream}]
	return s.event.GetState(), ok
}
