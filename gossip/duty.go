package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// extraPings bounds the pings of suspects and of candidates that go beside the round.
	extraPings = 2
	// deadEvery is the number of intervals between pings of a dead member.
	deadEvery = 20
	// pausedAfter is the number of intervals without the duty that count as a pause of this process.
	pausedAfter = 4
)

// pingDuty pings the next member of the round and a few suspects and candidates in each interval.
func (g *Gossip) pingDuty(ctx context.Context) {
	ticker := time.NewTicker(g.options.PingInterval)
	defer ticker.Stop()
	var pings sync.WaitGroup
	defer pings.Wait()
	last := time.Now()
	for n := 0; ; n++ {
		now := time.Now()
		// A pause of this process looks like silence of all others.
		paused := now.Sub(last) > pausedAfter*g.options.PingInterval
		last = now
		for _, m := range g.targets(n, paused, now) {
			pings.Go(func() { g.probe(ctx, m) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// targets does the table's work of one interval and returns the members to ping.
func (g *Gossip) targets(n int, paused bool, now time.Time) []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hinted = false
	if paused {
		g.table.Resume(now)
	}
	for _, m := range g.table.Tick(now) {
		g.log.WithFields(map[string]any{"name": m.Name, "incarnation": m.Incarnation}).Warn("entry VM is dead")
		g.spread(memberEvent(m), true)
	}
	g.events.expire(now)
	for _, s := range g.subscribers {
		s.flush()
	}
	if g.table.Replaced() {
		return nil
	}
	var all []member.Member
	if m, ok := g.table.Next(); ok {
		all = append(all, m)
	}
	all = append(all, g.table.Suspects(extraPings)...)
	all = append(all, g.table.Candidates(extraPings)...)
	if n%deadEvery == deadEvery-1 {
		all = append(all, g.table.DeadSample(1)...)
	}
	free := all[:0]
	for _, m := range all {
		if !g.probing[m.PeerAddress] {
			g.probing[m.PeerAddress] = true
			free = append(free, m)
		}
	}
	return free
}

// probe pings a member directly, then through others, and suspects it if nobody reaches it.
func (g *Gossip) probe(ctx context.Context, m member.Member) {
	defer func() {
		g.mu.Lock()
		delete(g.probing, m.PeerAddress)
		g.mu.Unlock()
	}()
	start := time.Now()
	if g.ping(ctx, m, m.PeerAddress, "", g.options.PingTimeout) || ctx.Err() != nil {
		return
	}
	if m.State != member.Alive && m.State != member.Leaving {
		return
	}
	if g.indirect(ctx, m) || ctx.Err() != nil {
		return
	}
	now := time.Now()
	if now.Sub(start) > 2*(g.options.PingTimeout+g.options.IndirectTimeout) {
		return // this process was paused; the silence is its own
	}
	g.mu.Lock()
	suspicion, ok := g.table.Fail(m.Name, m.Incarnation, now)
	if ok {
		g.broadcasts.add(memberEvent(suspicion))
		g.tell(memberEvent(suspicion), true)
	}
	sender := g.sender()
	g.mu.Unlock()
	if ok {
		// The suspect itself must learn of it soonest to refute it in time.
		g.push(ctx, m.PeerAddress, &peerpb.PushRequest{Sender: sender, Events: []*peerpb.Event{memberEvent(suspicion)}})
	}
}

// indirect asks random members to ping m and tells whether one of them reached it.
func (g *Gossip) indirect(ctx context.Context, m member.Member) bool {
	g.mu.Lock()
	helpers := g.table.Sample(indirectPings, m.Name)
	g.mu.Unlock()
	var reached atomic.Bool
	var wait sync.WaitGroup
	for _, h := range helpers {
		wait.Go(func() {
			if g.ping(ctx, m, h.PeerAddress, m.PeerAddress, g.options.IndirectTimeout) {
				reached.Store(true)
			}
		})
	}
	wait.Wait()
	return reached.Load()
}

// ping sends one ping about m to the address and tells whether m was reached.
func (g *Gossip) ping(ctx context.Context, m member.Member, address, target string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.mu.Lock()
	q := &peerpb.PingRequest{Sender: g.sender(), Target: target, Events: []*peerpb.Event{memberEvent(g.table.Self())}}
	if known, ok := g.table.Get(m.Name); ok && known.State >= member.Suspect {
		q.Events = append(q.Events, memberEvent(known))
	}
	if target == "" {
		q.Events = append(q.Events, g.take()...)
	}
	g.mu.Unlock()
	res, err := g.transport.Ping(ctx, address, q)
	if err != nil || g.absorb(res.GetSender(), res.GetEvents(), time.Now()) != nil {
		return false
	}
	if target != "" {
		return res.GetReached()
	}
	// Another VM may have got the address of one that is gone.
	return m.State == member.Candidate || res.GetSender().GetName() == m.Name
}

// pushDuty sends new events to random peers.
func (g *Gossip) pushDuty(ctx context.Context) {
	slots := make(chan struct{}, maxPushes)
	var pushes sync.WaitGroup
	defer pushes.Wait()
	for {
		var events []*peerpb.Event
		select {
		case e := <-g.pushes.Items():
			events = append(events, e)
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(g.options.PushDelay):
		case <-ctx.Done():
			return
		}
		for len(events) < pushBatch && g.pushes.Len() > 0 {
			events = append(events, <-g.pushes.Items())
		}
		g.mu.Lock()
		peers := g.table.Sample(fanOut, "")
		q := &peerpb.PushRequest{Sender: g.sender(), Events: g.events.refresh(events, time.Now())}
		g.mu.Unlock()
		for _, p := range peers {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			pushes.Go(func() {
				// A push that fails is a hint by which the loss of many VMs is found sooner.
				if !g.push(ctx, p.PeerAddress, q) && g.claim(p) {
					g.probe(ctx, p)
				}
				<-slots
			})
		}
	}
}

// claim marks the member as being probed and tells whether it may be. Each interval has one such probe, so that lost
// pushes don't multiply on a lossy network.
func (g *Gossip) claim(m member.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hinted || g.probing[m.PeerAddress] {
		return false
	}
	g.hinted, g.probing[m.PeerAddress] = true, true
	return true
}

// push sends events once and tells whether they arrived; a lost push is repaired by pings and comparisons.
func (g *Gossip) push(ctx context.Context, address string, q *peerpb.PushRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, g.options.PingTimeout)
	defer cancel()
	_, err := g.transport.Push(ctx, address, q)
	return err == nil
}

// compareDuty compares the whole state with a random peer in each interval. The first comparison follows the first
// contact, so that a starting VM knows the fleet at once; then a random wait spreads the VMs over the interval.
func (g *Gossip) compareDuty(ctx context.Context) {
	wait, joined := g.options.PingTimeout, false
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		peers := g.table.Sample(1, "")
		if joined {
			wait = g.options.CompareInterval
		} else if len(peers) > 0 {
			joined = true
			wait = time.Duration(g.rnd.Int64N(int64(g.options.CompareInterval)))
		}
		g.mu.Unlock()
		for _, p := range peers {
			g.compareWith(ctx, p.PeerAddress)
		}
	}
}

// compareWith sends digests, takes over the peer's state where they differ, and sends back what the peer lacks.
func (g *Gossip) compareWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, 5*g.options.PingTimeout)
	defer cancel()
	g.mu.Lock()
	q := &peerpb.CompareRequest{Sender: g.sender(), Digests: digest(g.state(time.Now()))}
	g.mu.Unlock()
	res, err := g.transport.Compare(ctx, address, q)
	if err != nil || g.absorb(res.GetSender(), res.GetEvents(), time.Now()) != nil || len(res.GetDiffering()) == 0 {
		return
	}
	theirs := make(map[uint64]bool, len(res.GetEvents()))
	for _, e := range res.GetEvents() {
		theirs[versionOf(e)] = true
	}
	back := &peerpb.CompareRequest{}
	g.mu.Lock()
	back.Sender = g.sender()
	for _, e := range inBuckets(g.state(time.Now()), res.GetDiffering()) {
		if !theirs[versionOf(e)] {
			back.Events = append(back.Events, e)
		}
	}
	g.mu.Unlock()
	if len(back.Events) > 0 {
		_, _ = g.transport.Compare(ctx, address, back)
	}
}
