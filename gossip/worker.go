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
	// extraPings bounds, for suspects and for candidates each, the pings sent in an interval in addition to the round.
	extraPings = 2
	// deadPingIntervals is the number of intervals between pings to a dead member.
	deadPingIntervals = 20
	// pauseIntervals is the number of intervals without an iteration of pingLoop above which this process counts as
	// having been paused.
	pauseIntervals = 4
)

// pingLoop pings the next member of the round and a few suspects and candidates in each interval.
func (g *Gossip) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(g.options.PingInterval)
	defer ticker.Stop()
	var pings sync.WaitGroup
	defer pings.Wait()
	last, paused := time.Now(), false
	// idle is the number of intervals left in which this VM sends no pings, because it is slow.
	for n, idle := 0, 0; ; {
		now := time.Now()
		// After a pause of this process, all other VMs seem not to have answered.
		paused = paused || now.Sub(last) > pauseIntervals*g.options.PingInterval
		last = now
		if idle > 0 {
			idle--
		} else {
			for _, m := range g.targets(n, paused, now) {
				pings.Go(func() { g.probe(ctx, m) })
			}
			n, idle, paused = n+1, g.stretch()-1, false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// targets updates the table for one interval and returns the members to ping. A VM whose name was taken over pings none.
func (g *Gossip) targets(n int, paused bool, now time.Time) []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pushProbed = false
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
	if n%deadPingIntervals == deadPingIntervals-1 {
		all = append(all, g.table.DeadSample(1)...)
	}
	idle := all[:0]
	for _, m := range all {
		if !g.probing[m.PeerAddress] {
			g.probing[m.PeerAddress] = true
			idle = append(idle, m)
		}
	}
	return idle
}

// stretch returns the factor by which the intervals and timeouts of pings are longer than usual.
func (g *Gossip) stretch() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + g.slowness
}

// recordProbe records whether anybody answered a probe. If nobody did, this VM or its network is slow rather than all others.
func (g *Gossip) recordProbe(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		g.slowness = max(g.slowness-1, 0)
	} else {
		g.slowness = min(g.slowness+1, maxSlowness)
	}
}

// probe pings a member directly, then through other members, and marks it as suspect if no ping reaches it.
func (g *Gossip) probe(ctx context.Context, m member.Member) {
	defer func() {
		g.mu.Lock()
		delete(g.probing, m.PeerAddress)
		g.mu.Unlock()
	}()
	start := time.Now()
	stretch := time.Duration(g.stretch())
	pingTimeout, indirectTimeout := stretch*g.options.PingTimeout, stretch*g.options.IndirectTimeout
	answered, _ := g.ping(ctx, m, m.PeerAddress, "", pingTimeout)
	if answered {
		g.recordProbe(true)
	}
	if m.State == member.Candidate && (answered || !wasPaused(start, pingTimeout)) {
		g.mu.Lock()
		g.table.RecordPing(m.Name, m.PeerAddress, answered)
		g.mu.Unlock()
	}
	if answered || ctx.Err() != nil {
		return
	}
	if m.State != member.Alive && m.State != member.Leaving {
		return
	}
	reached, helped := g.indirectPing(ctx, m, indirectTimeout)
	if reached || ctx.Err() != nil {
		return
	}
	if wasPaused(start, pingTimeout+indirectTimeout) {
		return
	}
	g.recordProbe(helped)
	if !helped {
		return
	}
	now := time.Now()
	g.mu.Lock()
	suspicion, ok := g.table.Suspect(m.Name, m.Incarnation, now)
	if ok {
		g.broadcasts.add(memberEvent(suspicion))
		g.notify(memberEvent(suspicion), true)
	}
	sender := g.sender()
	g.mu.Unlock()
	if ok {
		// The suspect needs the suspicion at once to refute it in time.
		g.push(ctx, m.PeerAddress, &peerpb.PushRequest{Sender: sender, Events: []*peerpb.Event{memberEvent(suspicion)}})
	}
}

// wasPaused reports whether this process seems to have been paused during pings with the total timeout, so that they prove
// nothing.
func wasPaused(start time.Time, timeout time.Duration) bool {
	return time.Since(start) > 2*timeout
}

// indirectPing asks random members to ping m. It reports whether one of them reached it, and whether one of them answered; without
// any to ask, it counts as answered.
func (g *Gossip) indirectPing(ctx context.Context, m member.Member, timeout time.Duration) (reached, answered bool) {
	g.mu.Lock()
	helpers := g.table.Sample(indirectPings, m.Name)
	g.mu.Unlock()
	var anyReached, anyAnswered atomic.Bool
	var wait sync.WaitGroup
	for _, h := range helpers {
		wait.Go(func() {
			reached, answered := g.ping(ctx, m, h.PeerAddress, m.PeerAddress, timeout)
			if reached {
				anyReached.Store(true)
			}
			if answered {
				anyAnswered.Store(true)
			}
		})
	}
	wait.Wait()
	return anyReached.Load(), anyAnswered.Load() || len(helpers) == 0
}

// ping sends one ping to the address, and reports whether m was reached and whether the address answered. With a target, the
// receiver pings the target in place of this VM.
func (g *Gossip) ping(ctx context.Context, m member.Member, address, target string, timeout time.Duration) (reached, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.mu.Lock()
	q := &peerpb.PingRequest{Sender: g.sender(), Target: target, Events: []*peerpb.Event{memberEvent(g.table.Self())}}
	if known, ok := g.table.Get(m.Name); ok && known.State >= member.Suspect {
		q.Events = append(q.Events, memberEvent(known))
	}
	if target == "" {
		q.Events = append(q.Events, g.piggyback()...)
	}
	g.mu.Unlock()
	res, err := g.transport.Ping(ctx, address, q)
	if err != nil || g.applyMessage(res.GetSender(), res.GetEvents(), time.Now()) != nil {
		return false, false
	}
	if target != "" {
		return res.GetReached(), true
	}
	// The address of a VM that is gone may have been assigned to another VM.
	return m.State == member.Candidate || res.GetSender().GetName() == m.Name, true
}

// pushLoop sends new events to random peers.
func (g *Gossip) pushLoop(ctx context.Context) {
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
				// Probing after a failed push detects the loss of many VMs sooner.
				if !g.push(ctx, p.PeerAddress, q) && g.claimProbe(p) {
					g.probe(ctx, p)
				}
				<-slots
			})
		}
	}
}

// claimProbe reports whether the member may be probed after a failed push, and if so marks it as being probed. There is
// at most one such probe in an interval, so that lost pushes do not multiply on a lossy network.
func (g *Gossip) claimProbe(m member.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pushProbed || g.probing[m.PeerAddress] {
		return false
	}
	g.pushProbed, g.probing[m.PeerAddress] = true, true
	return true
}

// push sends events once and reports whether they arrived. Pings and comparisons make up for a lost push.
func (g *Gossip) push(ctx context.Context, address string, q *peerpb.PushRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, g.options.PingTimeout)
	defer cancel()
	_, err := g.transport.Push(ctx, address, q)
	return err == nil
}

// compareLoop compares the whole state with a random peer in each interval. The first comparison is made as soon as a
// peer is known, and repeated until it succeeds, so that a starting VM learns the members at once; a random wait then spreads
// the comparisons of the VMs over the interval.
func (g *Gossip) compareLoop(ctx context.Context) {
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
		}
		g.mu.Unlock()
		for _, p := range peers {
			if g.compareWith(ctx, p.PeerAddress) && !joined {
				joined = true
				g.mu.Lock()
				wait = time.Duration(g.rnd.Int64N(int64(g.options.CompareInterval)))
				g.mu.Unlock()
			}
		}
	}
}

// compareWith sends digests of the state, applies the peer's events where the digests differ, and sends the events that
// the peer lacks. It reports whether the peer answered.
func (g *Gossip) compareWith(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*g.options.PingTimeout)
	defer cancel()
	g.mu.Lock()
	q := &peerpb.CompareRequest{Sender: g.sender(), Digests: digest(g.state(time.Now()))}
	g.mu.Unlock()
	res, err := g.transport.Compare(ctx, address, q)
	if err != nil || g.applyMessage(res.GetSender(), res.GetEvents(), time.Now()) != nil {
		return false
	}
	if len(res.GetDiffering()) == 0 {
		return true
	}
	received := make(map[uint64]bool, len(res.GetEvents()))
	for _, e := range res.GetEvents() {
		received[versionOf(e)] = true
	}
	reply := &peerpb.CompareRequest{}
	g.mu.Lock()
	reply.Sender = g.sender()
	for _, e := range inBuckets(g.state(time.Now()), res.GetDiffering()) {
		if !received[versionOf(e)] {
			reply.Events = append(reply.Events, e)
		}
	}
	g.mu.Unlock()
	if len(reply.Events) > 0 {
		_, _ = g.transport.Compare(ctx, address, reply)
	}
	return true
}
