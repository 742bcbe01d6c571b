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
	"github.com/fulmarhitch/fulmarhitch/stateconv"
)

// checkInterval is the time between checks for a change of the membership. It delays the replacement of a home that died;
// a check costs a few microseconds.
const checkInterval = 100 * time.Millisecond

// repeatInterval is the time between comparisons of the peers' generations with the highest one seen on this VM. A change
// must be in force within 5 s, so a failed pull must be retried soon.
const repeatInterval = time.Second

// Config holds the dependencies of a Planner.
type Config struct {
	Self    member.Member
	Holder  *generation.Holder
	Gossip  *gossip.Gossip
	Groups  *group.Registry
	Metrics *metric.Metrics
	// PeerGone is called with the peer address of each VM that left the membership, so that its connections are closed.
	PeerGone func(peerAddress string)
	// Apply is called with each new plan.
	Apply func(*plan.Plan)
	// Suspect is called with each death of an upstream reported by a peer.
	Suspect func(*peerpb.SuspectEvent)
	// Announced receives the generations announced by peers that are higher than any seen on this VM.
	Announced *ring.Ring[uint64]
	Log       logrus.FieldLogger
}

// Planner is the kernel service that builds plans. It runs one worker.
type Planner struct {
	config Config
	cancel context.CancelFunc
	worker sync.WaitGroup

	generation uint64
	members    []member.Member
	// lastRepeat is when the peers' generations were last compared.
	lastRepeat time.Time
}

// New returns a planner that has not started.
func New(c Config) *Planner {
	return &Planner{config: c}
}

// Start starts the worker.
func (p *Planner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	events := p.config.Gossip.Subscribe()
	p.worker.Go(func() { p.run(ctx, events) })
	return nil
}

// Stop stops the worker and waits for it.
func (p *Planner) Stop(context.Context) error {
	p.cancel()
	p.worker.Wait()
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
			p.handle(e, time.Now())
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
		p.publishGeneration(current, next)
	}
	p.reportGone(live)
	p.generation, p.members = current.Envelope.Generation, live
}

// reportGone calls PeerGone with the peer addresses of the previous members that no live member has.
func (p *Planner) reportGone(live []member.Member) {
	used := make(map[string]struct{}, len(live))
	for _, m := range live {
		used[m.PeerAddress] = struct{}{}
	}
	for _, m := range p.members {
		if _, ok := used[m.PeerAddress]; !ok {
			p.config.PeerGone(m.PeerAddress)
		}
	}
}

// publishGeneration updates the metrics, informs peers and logs after a generation has come into force on this VM.
func (p *Planner) publishGeneration(current *generation.Current, next *plan.Plan) {
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

// handle passes an event of a peer to the service that uses it.
func (p *Planner) handle(e *peerpb.Event, now time.Time) {
	switch k := e.GetKind().(type) {
	case *peerpb.Event_Member:
		p.config.Metrics.Event("member")
	case *peerpb.Event_Upstream:
		p.config.Metrics.Event("upstream")
		p.config.Groups.Observe(k.Upstream.GetService(), k.Upstream.GetUpstream(), stateconv.OfEvent(k.Upstream.GetState()), group.Peer, now)
	case *peerpb.Event_Suspect:
		p.config.Metrics.Event("suspect")
		p.config.Suspect(k.Suspect)
	case *peerpb.Event_Generation:
		p.config.Metrics.Event("generation")
		p.announce(k.Generation.GetGeneration())
	}
}

// announce passes a generation to the receiver of Announced if it is higher than any seen on this VM.
func (p *Planner) announce(n uint64) {
	if n > p.config.Holder.Highest() {
		// If the ring is full, the receiver is already about to pull the latest generation.
		p.config.Announced.Offer(n)
	}
}

// repeatAnnouncement announces the generations of the peers again, at most once in repeatInterval. A pull may have failed,
// and an event is delivered only once.
func (p *Planner) repeatAnnouncement(now time.Time) {
	if now.Sub(p.lastRepeat) < repeatInterval {
		return
	}
	p.lastRepeat = now
	for _, n := range p.config.Gossip.Generations() {
		p.announce(n)
	}
}

// sameMembers reports whether two lists hold the same processes, with the same peer addresses and equally usable.
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
