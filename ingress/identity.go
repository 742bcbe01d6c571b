package ingress

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/fulmarhitch/fulmarhitch/identity"
	"github.com/fulmarhitch/fulmarhitch/organisation"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// Reasons of refusals besides those of package identity, in metrics.
const (
	// limited marks a request above the limit of its organisation.
	limited = "limit"
	// unknownVM marks a request that is stated to be passed on, but doesn't come from a VM that this one lists.
	unknownVM = "unknown-vm"
)

// principal is the organisation of a request, and what was counted of it.
type principal struct {
	identity.Identity
	// admitted is the time at which the request was counted; it is valid if isCounted is true.
	admitted  time.Time
	isCounted bool
}

// name returns the name of the organisation, or an empty string if there is none.
func (p principal) name() string {
	if p.Organisation == nil {
		return ""
	}
	return p.Organisation.Name
}

// priority returns the priority of a request of the organisation under the rule.
func (p principal) priority(rule *ruleset.Rule) int {
	if p.Organisation != nil && p.Organisation.HasPriority {
		return p.Organisation.Priority
	}
	return rule.Priority
}

// ages returns the ages of the rules. They are read before the rules are.
func (s *Server) ages() identity.Ages {
	a := identity.Ages{Rules: s.config.RulesAge()}
	if s.config.MaxKeyAge > 0 {
		a.Confirmed = s.config.ConfirmedAge()
	}
	return a
}

// identify returns the organisation of the request, and removes from its headers what upstreams must not get as the caller sent it.
func (s *Server) identify(r *http.Request, set *ruleset.Set, rule *ruleset.Rule, ages identity.Ages, isPassed bool) (principal, *errorResponse) {
	id, refusal := s.identities.Check(r.Header, set, rule, ages, isPassed)
	if set.Organisations != nil {
		r.Header.Del(s.config.Dialect.Credentials)
		r.Header.Del(s.config.Dialect.Organisation)
	}
	if refusal != nil {
		return principal{}, responseTo(refusal)
	}
	return principal{Identity: id}, nil
}

// responseTo returns the error response that tells the refusal.
func responseTo(refusal *identity.Refusal) *errorResponse {
	text := string(refusal.Reason) + ": "
	switch refusal.Reason {
	case identity.NoKey:
		text += "the request needs a key"
	case identity.UnknownKey:
		text += "no organisation has the key"
	case identity.RulesUnconfirmed:
		text += "newer rules may have the key"
	case identity.RulesOld:
		text += "the key may have been taken away since the rules were confirmed"
	case identity.NotIdentified:
		text += "the rules don't have the organisation of the request"
	}
	resp := untried(text, retryAfterUnready)
	if refusal.IsFinal {
		resp = &errorResponse{status: http.StatusUnauthorized, text: text}
	}
	resp.reason = string(refusal.Reason)
	return resp
}

// isFromVM reports whether the request comes from the IP address of another VM. Without organisations all senders count, because what
// passed requests state then gives no rights.
func (s *Server) isFromVM(r *http.Request, set *ruleset.Set) bool {
	if set.Organisations == nil {
		return true
	}
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && s.config.IsVM != nil && s.config.IsVM(address.Addr().Unmap())
}

// admitWithinLimit counts a request of an organisation with a limit, unless another VM has counted it. It returns an error response
// if the request is above the limit.
func (s *Server) admitWithinLimit(p *principal, rule *ruleset.Rule, left time.Duration, now time.Time) *errorResponse {
	if s.config.Limits == nil || p.Organisation == nil || p.Organisation.Rate <= 0 || p.ByVM {
		return nil
	}
	admit := s.config.Limits.Admit
	if s.config.IsTooLate != nil && s.config.IsTooLate(rule, left) {
		admit = s.config.Limits.AdmitLate
	}
	ok, retryAfter := admit(p.Organisation, now)
	if !ok {
		return &errorResponse{
			status: http.StatusTooManyRequests, text: "limit: the organisation is above its limit", retryAfter: max(retryAfter, time.Millisecond),
			isUntried: true, reason: limited,
		}
	}
	p.admitted, p.isCounted = now, true
	return nil
}

// takeBack returns a counted request to the limit if it did not run.
func (s *Server) takeBack(p principal, out outcome.Outcome) {
	if _, isNotRun := out.(outcome.NotRun); isNotRun && p.isCounted {
		s.config.Limits.Return(p.Organisation, p.admitted)
	}
}

// countOrganisation counts a request of an organisation by its outcome.
func (s *Server) countOrganisation(o *organisation.Organisation, end string) {
	if o != nil {
		s.config.Metrics.OrganisationDone(o.Name, end)
	}
}
