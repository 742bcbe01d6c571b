package planner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/statement"
)

// checkInterval is how often the membership is compared with the plan's. A home that died is replaced that much
// later; the comparison costs a few microseconds.
const checkInterval = 100 * time.Millisecond

// repeatInterval is how often the peers' generations are compared with the highest one seen here. A change has to be in
// force within 5 s, so that a failed pull must be tried again soon.
const repeatInterval = time.Second

// Config holds what a Planner works with.
type Config struct {
	Self    member.Member
	Holder  *generation.Holder
	Gossip  *gossip.Gossip
	Groups  *group.Registry
	Metrics *metric.Metrics
	// Gone takes the peer addresses of VMs that left the membership, so that their connections are closed.
	Gone func(peerAddress string)
	// Apply takes each new plan.
	Apply func(*plan.Plan)
	// Suspect takes the death of an upstream that a peer reported.
	Suspect func(*peerpb.SuspectEvent)
	// Announced takes the generations that peers announce.
	Announced *ring.Ring[uint64]
	Log       logrus.FieldLogger
}

// Planner is the kernel service with the duty of planning.
type Planner struct {
	config Config
	cancel context.CancelFunc
	duty   sync.WaitGroup

	generation uint64
	members    []member.Member
	// repeated is when the peers' generations were last compared.
	repeated time.Time
}

// New returns a planner that has not started.
func New(c Config) *Planner {
	return &Planner{config: c}
}

// Start begins the duty.
func (p *Planner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	events := p.config.Gossip.Subscribe()
	p.duty.Go(func() { p.run(ctx, events) })
	return nil
}

// Stop ends the duty.
func (p *Planner) Stop(context.Context) error {
	p.cancel()
	p.duty.Wait()
	return nil
}

func (p *Planner) run(ctx context.Context, events <-chan *peerpb.Event) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		changed := p.config.Holder.Changed()
		p.refresh(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			p.repeatAnnouncement(now)
		case e := <-events:
			p.take(e, time.Now())
		}
	}
}

// refresh builds a new plan if the configuration or the usable members have changed.
func (p *Planner) refresh(now time.Time) {
	current := p.config.Holder.Current()
	if current == nil {
		return
	}
	live := p.config.Gossip.Live()
	if current.Envelope.Generation == p.generation && sameMembers(live, p.members) {
		return
	}
	next := plan.New(current.Declaration, live, p.config.Self)
	p.config.Groups.Apply(next, now)
	p.config.Apply(next)
	p.config.Metrics.SetMembers(len(live))
	if current.Envelope.Generation != p.generation {
		p.inForce(current, next)
	}
	p.forget(live)
	p.generation, p.members = current.Envelope.Generation, live
}

// forget reports the addresses of the last members that no live one has.
func (p *Planner) forget(live []member.Member) {
	used := make(map[string]struct{}, len(live))
	for _, m := range live {
		used[m.PeerAddress] = struct{}{}
	}
	for _, m := range p.members {
		if _, ok := used[m.PeerAddress]; !ok {
			p.config.Gone(m.PeerAddress)
		}
	}
}

// inForce tells everybody that a generation has come into force here.
func (p *Planner) inForce(current *generation.Current, next *plan.Plan) {
	var groups []string
	for id := range next.Groups() {
		groups = append(groups, id)
	}
	p.config.Metrics.Update(current.Declaration, groups)
	p.config.Metrics.SetGeneration(current.Envelope.Generation)
	p.config.Gossip.SetGeneration(current.Envelope.Generation)
	p.config.Log.WithFields(logrus.Fields{
		"generation": current.Envelope.Generation, "submission": current.Envelope.Submission,
	}).Info("configuration is in force")
}

// take hands an event of a peer to the service that it concerns.
func (p *Planner) take(e *peerpb.Event, now time.Time) {
	switch k := e.GetKind().(type) {
	case *peerpb.Event_Member:
		p.config.Metrics.Event("member")
	case *peerpb.Event_Upstream:
		p.config.Metrics.Event("upstream")
		p.config.Groups.Observe(k.Upstream.GetService(), k.Upstream.GetUpstream(), statement.OfEvent(k.Upstream.GetState()), group.Peer, now)
	case *peerpb.Event_Suspect:
		p.config.Metrics.Event("suspect")
		p.config.Suspect(k.Suspect)
	case *peerpb.Event_Generation:
		p.config.Metrics.Event("generation")
		p.announce(k.Generation.GetGeneration())
	}
}

// announce hands a generation above the highest one seen to the reader.
func (p *Planner) announce(n uint64) {
	if n > p.config.Holder.Highest() {
		// A full ring means that the reader pulls already; it then pulls the latest.
		p.config.Announced.Offer(n)
	}
}

// repeatAnnouncement announces the highest generation of the peers again. A pull may have failed, and an event is new
// only once.
func (p *Planner) repeatAnnouncement(now time.Time) {
	if now.Sub(p.repeated) < repeatInterval {
		return
	}
	p.repeated = now
	for _, n := range p.config.Gossip.Generations() {
		p.announce(n)
	}
}

// sameMembers tells whether two lists hold the same processes with the same use.
func sameMembers(a, b []member.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Incarnation != b[i].Incarnation || a[i].Usable() != b[i].Usable() ||
			a[i].PeerAddress != b[i].PeerAddress {
			return false
		}
	}
	return true
}
