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

// Transport sends messages to the peer address; *peer.Client is one.
type Transport interface {
	Ping(ctx context.Context, address string, m *peerpb.PingRequest) (*peerpb.PingResponse, error)
	Push(ctx context.Context, address string, m *peerpb.PushRequest) (*peerpb.PushResponse, error)
	Compare(ctx context.Context, address string, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error)
}

// Options are the times of a Gossip and the seed of its random choices.
type Options struct {
	// PingInterval, PingTimeout and IndirectTimeout time the pings.
	PingInterval, PingTimeout, IndirectTimeout time.Duration
	// CompareInterval is the time between comparisons with a random peer.
	CompareInterval time.Duration
	// PushDelay gathers events before a push, so that events of one cause share messages.
	PushDelay time.Duration
	// Times are those of the member table.
	Times member.Times
	// Seed makes random choices repeatable.
	Seed uint64
}

// DefaultOptions returns the times of the design with a random seed. The interval is 250 ms: a VM's random choice
// leaves a dead member unpinged for a whole interval by all others with a probability of 1/e, and at 500 ms the loss of
// five VMs at once was not agreed on within 4 s.
func DefaultOptions() Options {
	return Options{
		PingInterval: 250 * time.Millisecond, PingTimeout: 200 * time.Millisecond, IndirectTimeout: 300 * time.Millisecond,
		CompareInterval: 10 * time.Second, PushDelay: 10 * time.Millisecond, Times: member.DefaultTimes(), Seed: rand.Uint64(),
	}
}

const (
	indirectPings = 3
	fanOut        = 3
	// maxPushes bounds the pushes in flight; a push to a peer that does not answer takes PingTimeout.
	maxPushes = 32
	pushRing  = 4096
	pushBatch = 256
)

// Gossip is the kernel service "gossip". It is safe for concurrent use.
type Gossip struct {
	transport Transport
	options   Options
	log       logrus.FieldLogger

	mu          sync.Mutex
	table       *member.Table
	events      *eventLog
	broadcasts  broadcasts
	subscribers []*subscriber
	generation  uint64            // in force at this VM
	generations map[string]uint64 // in force at peers, by name
	lastHeard   time.Time
	rnd         *rand.Rand
	probing     map[string]bool // by peer address
	hinted      bool            // a failed push has caused a probe in this interval
	replaced    bool

	pushes *ring.Ring[*peerpb.Event]
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// New returns a Gossip for the VM self, which needs all fields but State, Counter and Left.
func New(self member.Member, t Transport, o Options, log logrus.FieldLogger) *Gossip {
	now := time.Now()
	rnd := rand.New(rand.NewPCG(o.Seed, 0x676f73736970))
	return &Gossip{
		transport: t, options: o, log: log,
		table:       member.New(self, o.Times, rnd, now),
		events:      newLog(),
		broadcasts:  broadcasts{waiting: make(map[string]*broadcast)},
		generations: make(map[string]uint64), lastHeard: now, rnd: rnd, probing: make(map[string]bool),
		pushes: ring.New[*peerpb.Event](pushRing),
	}
}

// Start starts the duties.
func (g *Gossip) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, duty := range []func(context.Context){g.pingDuty, g.pushDuty, g.compareDuty} {
		g.duties.Go(func() { duty(ctx) })
	}
	return nil
}

// Stop ends the duties and waits for them until ctx is done.
func (g *Gossip) Stop(ctx context.Context) error {
	if g.cancel == nil {
		return nil
	}
	g.cancel()
	done := make(chan struct{})
	go func() {
		g.duties.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Live returns the VMs that may be alive, self and leaving ones included, sorted by name.
func (g *Gossip) Live() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Live()
}

// Members returns every VM that was heard of, the dead included, sorted by name.
func (g *Gossip) Members() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// Others returns the number of other VMs known by any means; without any, this VM is not isolated.
func (g *Gossip) Others() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Others()
}

// Replaced tells whether another process has taken over this VM's name; this one then takes part no longer.
func (g *Gossip) Replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Replaced()
}

// List takes over the VM list or the peers of the settings.
func (g *Gossip) List(listed []member.Listed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.List(listed)
}

// Publish spreads an event that this VM observed. An upstream event with version 0 gets the next version and this
// VM as its observer; it is dropped if the upstream's state is known already.
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

// Subscribe returns a channel of the events that are new to this VM and came from peers. A receiver that falls
// behind by more than the ring holds gets only the latest event of each member, upstream and so on. The channel is
// never closed.
func (g *Gossip) Subscribe() <-chan *peerpb.Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := newSubscriber()
	g.subscribers = append(g.subscribers, s)
	return s.ring.Items()
}

// SetGeneration tells the generation that this VM has in force. A lower one than before is ignored.
func (g *Gossip) SetGeneration(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n <= g.generation {
		return
	}
	g.generation = n
	g.apply([]*peerpb.Event{generationEvent(n, g.table.Self().Name)}, time.Now(), false)
}

// Generations returns the generations in force by VM name, as last heard, self included.
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

// LastHeard returns when a peer was last heard, or the time of New if none was.
func (g *Gossip) LastHeard() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastHeard
}

// Leave announces a planned stop. The duties go on until Stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spread(memberEvent(g.table.Leave()), false)
}

// Sender returns the identity that this VM's messages carry.
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

// absorb takes over a message of a peer. A malformed message changes nothing.
func (g *Gossip) absorb(s *peerpb.Sender, events []*peerpb.Event, now time.Time) error {
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
	g.lastHeard = now
	if m, ok := g.table.Get(s.GetName()); ok && m.Incarnation == s.GetIncarnation() {
		g.generations[s.GetName()] = s.GetGeneration()
	}
	if s.GetGeneration() > 0 {
		g.apply([]*peerpb.Event{generationEvent(s.GetGeneration(), s.GetName())}, now, true)
	}
	return nil
}

// apply takes over events and spreads those that are new.
func (g *Gossip) apply(events []*peerpb.Event, now time.Time, tell bool) {
	for _, e := range events {
		fresh := false
		switch k := e.GetKind().(type) {
		case *peerpb.Event_Member:
			m := memberOf(k.Member)
			before, known := g.table.Get(m.Name)
			for _, news := range g.table.Apply(m, now) {
				if !known || before.Incarnation != news.Incarnation {
					delete(g.generations, news.Name)
				}
				g.spreadMember(news, m, before, tell)
			}
			g.noteReplaced()
		case *peerpb.Event_Upstream:
			fresh = g.events.applyUpstream(k.Upstream, now)
		case *peerpb.Event_Suspect:
			fresh = g.events.applySuspect(k.Suspect, now)
		case *peerpb.Event_Generation:
			fresh = g.events.applyGeneration(k.Generation)
		}
		if fresh {
			g.spread(e, tell)
		}
	}
}

func (g *Gossip) noteReplaced() {
	if !g.replaced && g.table.Replaced() {
		g.replaced = true
		g.log.WithField("name", g.table.Self().Name).Error("another process took over this VM's name")
	}
}

// spreadMember spreads the state news, which this VM took over or answers to the state heard in place of before.
// Suspicions and their refutations change no VM's view of who is usable. They only travel on pings, because on a
// lossy network each lost push of one would cause the next.
func (g *Gossip) spreadMember(news, heard, before member.Member, tell bool) {
	e := memberEvent(news)
	refuted := news.State == member.Alive && news.Incarnation == before.Incarnation &&
		before.State <= member.Suspect && heard.State != member.Dead && before.State != member.Candidate
	if news.State == member.Suspect || refuted {
		g.broadcasts.add(e)
		g.tell(e, tell)
		return
	}
	g.spread(e, tell)
}

// spread sends an event that is new to this VM to random peers and on pings, and to subscribers if tell is set.
func (g *Gossip) spread(e *peerpb.Event, tell bool) {
	g.broadcasts.add(e)
	// With the ring full the event still travels on pings and in comparisons.
	g.pushes.Offer(e)
	g.tell(e, tell)
}

func (g *Gossip) tell(e *peerpb.Event, tell bool) {
	if tell {
		for _, s := range g.subscribers {
			s.deliver(e)
		}
	}
}

// state returns the whole state as events.
func (g *Gossip) state(now time.Time) []*peerpb.Event {
	all := g.events.events(now)
	for _, m := range g.table.All() {
		all = append(all, memberEvent(m))
	}
	return all
}

// Upstream returns the last state of the upstream that this VM knows of.
func (g *Gossip) Upstream(service, upstream string) (peerpb.UpstreamEvent_State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.events.upstreams[upstreamKey{service, upstream}]
	return s.event.GetState(), ok
}
