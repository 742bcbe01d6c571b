package identity

import (
	"net/http"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/organisation"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// scheme is the authentication scheme of keys (RFC 6750).
const scheme = "Bearer"

// Reason is the reason for which a request is refused, in kebab case.
type Reason string

// Reasons of refusals.
const (
	// NoKey marks a request without a key under a rule that requires one, and UnknownKey one whose key no organisation holds.
	NoKey      Reason = "no-key"
	UnknownKey Reason = "unknown-key"
	// RulesUnconfirmed marks a request like those, by rules that newer ones may have replaced.
	RulesUnconfirmed Reason = "rules-unconfirmed"
	// RulesOld marks a request with a key that may have been taken away since the VM last heard of the rules.
	RulesOld Reason = "rules-old"
	// NotIdentified marks a request that another VM passed on without the name of an organisation that the rules have.
	NotIdentified Reason = "not-identified"
)

// Refusal is the result for a request that must not be served here.
type Refusal struct {
	Reason Reason
	// IsFinal reports that no other VM would serve the request either.
	IsFinal bool
}

// Identity is on whose behalf a request is made.
type Identity struct {
	// Organisation is the organisation of the request, or nil if it has none.
	Organisation *organisation.Organisation
	// ByVM reports whether another VM has stated it.
	ByVM bool
}

// Ages are the ages of the rules. They have to be read before the rules, so that these are at most as old.
type Ages struct {
	// Rules is the time since the rules were last confirmed.
	Rules time.Duration
	// Confirmed is the time since the call of the store was sent that confirmed them, with that in which machines were suspended.
	Confirmed time.Duration
}

// Checker finds the organisations of requests. It must not be changed once it is in use.
type Checker struct {
	// Credentials is the canonical name of the header with the key.
	Credentials string
	// MaxRulesAge is the age of the rules up to which a key that they don't hold counts as unknown.
	MaxRulesAge time.Duration
	// MaxConfirmedAge is the age up to which keys are accepted, or 0 for no bound.
	MaxConfirmedAge time.Duration
}

// Check returns the identity of a request under the rule, or a refusal. isPassed reports whether a VM of the fleet has passed the
// request on.
func (c *Checker) Check(h http.Header, set *ruleset.Set, rule *ruleset.Rule, ages Ages, isPassed bool) (Identity, *Refusal) {
	if names := h[header.Organisation]; isPassed && len(names) > 0 {
		if set.Organisations == nil || len(names) > 1 || set.Organisations.ByName(names[0]) == nil {
			return Identity{}, &Refusal{Reason: NotIdentified}
		}
		return Identity{Organisation: set.Organisations.ByName(names[0]), ByVM: true}, nil
	}
	if set.Organisations == nil {
		return Identity{}, nil
	}
	key, isSent := findKey(h[c.Credentials])
	reason := UnknownKey
	switch {
	case !isSent && rule.Public:
		return Identity{}, nil
	case !isSent:
		reason = NoKey
	case c.MaxConfirmedAge > 0 && ages.Confirmed > c.MaxConfirmedAge:
		return Identity{}, &Refusal{Reason: RulesOld}
	}
	if key != "" {
		if o := set.Organisations.Find(key); o != nil {
			return Identity{Organisation: o}, nil
		}
	}
	switch {
	case isPassed:
		// The rules of the VM that accepted the request differ from those of this one.
		return Identity{}, &Refusal{Reason: NotIdentified}
	case ages.Rules > c.MaxRulesAge:
		return Identity{}, &Refusal{Reason: RulesUnconfirmed}
	default:
		return Identity{}, &Refusal{Reason: reason, IsFinal: true}
	}
}

// findKey returns the key in the values of the header, and whether one is sent. The key is empty if it can't be told.
func findKey(values []string) (key string, isSent bool) {
	if len(values) > 1 {
		return "", true
	}
	for _, value := range values {
		name, rest, _ := strings.Cut(strings.TrimSpace(value), " ")
		if strings.EqualFold(name, scheme) {
			return strings.TrimSpace(rest), true
		}
	}
	return "", false
}
