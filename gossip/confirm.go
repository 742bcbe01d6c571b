package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/member"
)

// confirmPings bounds the concurrent pings of one Confirm call.
const confirmPings = 16

// Confirm pings the live VMs until all have the generation or a later one in force or until ctx is done, and returns
// those that have not confirmed it. The regular pings alone would take minutes to reach every VM of a large fleet.
func (g *Gossip) Confirm(ctx context.Context, generation uint64) []member.Member {
	ticker := time.NewTicker(g.options.PingInterval)
	defer ticker.Stop()
	for {
		missing := g.unconfirmed(generation)
		if len(missing) == 0 {
			return nil
		}
		g.pingAll(ctx, missing)
		if missing = g.unconfirmed(generation); len(missing) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return missing
		}
	}
}

// unconfirmed returns the live VMs that are not known to have the generation or a later one in force.
func (g *Gossip) unconfirmed(generation uint64) []member.Member {
	known := g.Generations()
	var missing []member.Member
	for _, m := range g.Live() {
		if known[m.Name] < generation {
			missing = append(missing, m)
		}
	}
	return missing
}

// pingAll pings the members, except this VM, and waits for the results.
func (g *Gossip) pingAll(ctx context.Context, members []member.Member) {
	slots := make(chan struct{}, confirmPings)
	var pings sync.WaitGroup
	self := g.Sender().GetName()
	for _, m := range members {
		if m.Name == self {
			continue
		}
		slots <- struct{}{}
		pings.Go(func() {
			g.ping(ctx, m, m.PeerAddress, "", g.options.PingTimeout)
			<-slots
		})
	}
	pings.Wait()
}
