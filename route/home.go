package route

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// maxHomes is the largest number of homes that are tried before this VM serves the group itself.
const maxHomes = 2

// load is the state of a group at its home.
type load struct {
	free, waiting int
}

// runAtHome runs the request at the home of the preferred group of its service.
func (r *Router) runAtHome(ctx context.Context, req *request.Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	p := r.Plan()
	if p == nil {
		return outcome.NotRun{Reason: outcome.NotReady}
	}
	s := p.Service(req.Service)
	if s == nil || len(s.Groups) == 0 {
		return outcome.NotRun{Reason: outcome.NoUpstream}
	}
	g := s.Groups[0]
	if g.Home {
		return r.runInGroup(ctx, g, req, queued)
	}
	return r.forward(ctx, g, req)
}

// forward sends the request to the group's home and, if nothing was sent or the peer does not serve the group, to the
// next home in order. If no home is left, this VM serves the group.
func (r *Router) forward(ctx context.Context, g *plan.Group, req *request.Request) outcome.Outcome {
	for i, m := range g.Homes {
		if i == maxHomes || m.Incarnation == key.FormatIncarnation(r.config.Incarnation) {
			break
		}
		out, _, err := r.send(ctx, m, peerpb.RunRequest_MODE_HOME, g.ID, req)
		switch {
		case err == nil:
			if notServing(out) {
				continue
			}
			return out
		case errors.Is(err, peer.ErrUnsent):
			continue
		case !req.Idempotent:
			return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the home " + m.Name + " did not answer"}
		}
		// An idempotent request may run again; it is tried once more, at this VM.
		return afterLost(outcome.ConnectionLost, r.runInGroup(ctx, g, req, repeated))
	}
	return r.runInGroup(ctx, g, req, queued)
}

// notServing reports whether the peer ran nothing because it does not serve the group.
func notServing(out outcome.Outcome) bool {
	o, ok := out.(outcome.NotRun)
	return ok && (o.Reason == outcome.NotReady || (o.Reason == outcome.NoUpstream && o.Detail != ""))
}

// afterLost returns the outcome of a further attempt after one that may have run. NotRun then becomes Unknown, because
// the request may have run earlier.
func afterLost(earlier outcome.Reason, out outcome.Outcome) outcome.Outcome {
	if o, ok := out.(outcome.NotRun); ok {
		return outcome.Unknown{Reason: earlier, Detail: "a retry did not run: " + string(o.Reason)}
	}
	return out
}

// send sends the request to a peer and returns its outcome and the load of the group there.
func (r *Router) send(ctx context.Context, m member.Member, mode peerpb.RunRequest_Mode, groupID string, req *request.Request) (outcome.Outcome, load, error) {
	msg := peer.EncodeRequest(r.config.Sender(), mode, groupID, req, time.Now())
	res, err := r.config.Peers.Run(ctx, m.PeerAddress, msg)
	if err != nil {
		return nil, load{}, err
	}
	out, err := peer.DecodeOutcome(res, req.ID)
	if err != nil {
		return nil, load{}, err
	}
	return out, load{free: int(res.GetLoad().GetFreeSlots()), waiting: int(res.GetLoad().GetWaiting())}, nil
}
