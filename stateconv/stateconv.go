package stateconv

import (
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// OfResponse returns the state that a response or a health endpoint reports.
func OfResponse(s exchange.State) upstream.State {
	switch s {
	case exchange.Ready:
		return upstream.Ready
	case exchange.Cold:
		return upstream.Cold
	case exchange.Draining:
		return upstream.Draining
	case exchange.Failing:
		return upstream.Failing
	default:
		return upstream.NoState
	}
}

// OfEvent returns the state that an event reports.
func OfEvent(s peerpb.UpstreamEvent_State) upstream.State {
	switch s {
	case peerpb.UpstreamEvent_STATE_READY:
		return upstream.Ready
	case peerpb.UpstreamEvent_STATE_COLD:
		return upstream.Cold
	case peerpb.UpstreamEvent_STATE_DRAINING:
		return upstream.Draining
	case peerpb.UpstreamEvent_STATE_EJECTED:
		return upstream.Failing
	default:
		return upstream.NoState
	}
}

// Event returns the event that reports the state of an upstream to peers.
func Event(service, name string, s upstream.State) *peerpb.Event {
	state := peerpb.UpstreamEvent_STATE_READY
	switch s {
	case upstream.Cold:
		state = peerpb.UpstreamEvent_STATE_COLD
	case upstream.Draining:
		state = peerpb.UpstreamEvent_STATE_DRAINING
	case upstream.Failing:
		state = peerpb.UpstreamEvent_STATE_EJECTED
	case upstream.Ready, upstream.NoState:
	}
	return &peerpb.Event{Kind: &peerpb.Event_Upstream{Upstream: &peerpb.UpstreamEvent{Service: service, Upstream: name, State: state}}}
}
