package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/member"
)

// confirmPings bounds the pings in flight while a VM asks for confirmations.
const confirmPings = 16

// Confirm asks the live VMs until all have the generation or a later one in force or ctx is done, and returns those
// that have not confirmed it. Pings of the round alone would take minutes to reach every VM of a large fleet.
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
