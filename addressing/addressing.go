package addressing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
)

// maxAddresses is the maximum number of addresses in an answer.
const maxAddresses = 4

// ErrNoService marks an answer for a service that the configuration does not name.
var ErrNoService = errors.New("steer: no such service")

// ErrNoVM marks an answer for which no live VM is known.
var ErrNoVM = errors.New("steer: no live entry VM")

// Addresses is the answer to a caller.
type Addresses struct {
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
	// Now is the time of the answer.
	Now time.Time
	// List holds 1 to 4 addresses, best first.
	List []Address
}

// Address is one entry VM that the caller may use.
type Address struct {
	// Name is the VM's name.
	Name string
	// Address is IP address and port.
	Address string
	// Incarnation is the VM's incarnation as 16 hex digits.
	Incarnation string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
}

// Caller describes the caller that requests addresses.
type Caller struct {
	// FailureDomain is the caller's failure domain, or empty if it is unknown.
	FailureDomain string
	// Token determines the order of homes at equal distance, which spreads callers over them. Use a random number
	// for a caller without a stable identity.
	Token uint64
}

// Select returns the addresses for a caller of the service: the homes of its groups, nearest first and spread in
// proportion to the groups' slots, then other usable VMs. Leaving VMs are left out unless no other VM is live.
func Select(d *declaration.Declaration, service string, live []member.Member, c Caller, now time.Time) (Addresses, error) {
	s := d.Service(service)
	if s == nil {
		return Addresses{}, errors.Wrapf(ErrNoService, "%q", service)
	}
	var list []Address
	add := func(m member.Member) {
		if len(list) < maxAddresses && m.Address != "" &&
			!slices.ContainsFunc(list, func(a Address) bool { return a.Name == m.Name }) {
			list = append(list, Address{m.Name, m.Address, m.Incarnation, m.FailureDomain})
		}
	}
	for _, m := range homes(d, s, live, c) {
		add(m)
	}
	if len(list) < maxAddresses {
		for _, m := range fallbacks(live, list, c) {
			add(m)
		}
	}
	if len(list) == 0 {
		return Addresses{}, errors.Wrapf(ErrNoVM, "for service %q", service)
	}
	return Addresses{Lifetime: d.AddressLifetime, Now: now, List: list}, nil
}

// homes returns the preferred home of each of the service's groups, ordered for the caller.
func homes(d *declaration.Declaration, s *declaration.Service, live []member.Member, c Caller) []member.Member {
	type ranked struct {
		home     member.Member
		distance int
		score    float64
	}
	var all []ranked
	for _, g := range home.Groups(d, s) {
		order := home.Order(g, d, live)
		if len(order) == 0 {
			continue
		}
		all = append(all, ranked{order[0], distance(d, c.FailureDomain, g), exponential(c.Token, g.ID, g.Slots())})
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if n := cmp.Compare(a.distance, b.distance); n != 0 {
			return n
		}
		return cmp.Compare(a.score, b.score)
	})
	ordered := make([]member.Member, len(all))
	for i, r := range all {
		ordered[i] = r.home
	}
	return ordered
}

// distance ranks a group for a caller: 0 in its failure domain, 1 in its region, 2 elsewhere or unknown.
func distance(d *declaration.Declaration, domain string, g home.Group) int {
	switch {
	case domain == "":
		return 2
	case domain == g.FailureDomain:
		return 0
	case home.Region(d, domain) != "" && home.Region(d, domain) == g.Region:
		return 1
	}
	return 2
}

// exponential returns an exponential variate with rate slots, derived from a hash of token and id. The group with the
// smallest variate comes first, so a group is first with a probability proportional to its slots. Groups without slots
// come last.
func exponential(token uint64, id string, slots int) float64 {
	if slots <= 0 {
		return math.Inf(1)
	}
	return -math.Log(uniform(token, id)) / float64(slots)
}

// uniform returns a hash of token and id as a number in (0, 1].
func uniform(token uint64, id string) float64 {
	var h xxhash.Digest
	h.ResetWithSeed(token)
	_, _ = h.WriteString(id)
	return (float64(h.Sum64()>>11) + 1) / (1 << 53)
}

// fallbacks returns the other VMs, ordered by token within each rank: first usable VMs of failure domains missing from
// the list, so that the loss of one failure domain leaves the caller an address; then other usable VMs; then leaving
// VMs if the list would otherwise be empty.
func fallbacks(live []member.Member, list []Address, c Caller) []member.Member {
	type ranked struct {
		index, rank int
		score       float64
	}
	// Compute each rank once instead of in every comparison of the sort.
	var all []ranked
	for i := range live {
		m := &live[i]
		rank := 0
		switch {
		case !m.Usable():
			rank = 2
		case slices.ContainsFunc(list, func(a Address) bool { return a.FailureDomain == m.FailureDomain }):
			rank = 1
		}
		all = append(all, ranked{i, rank, uniform(c.Token, m.Name)})
	}
	usable := func(r ranked) bool { return r.rank < 2 }
	if len(list) > 0 || slices.ContainsFunc(all, usable) {
		all = slices.DeleteFunc(all, func(r ranked) bool { return !usable(r) })
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if n := cmp.Compare(a.rank, b.rank); n != 0 {
			return n
		}
		return cmp.Compare(a.score, b.score)
	})
	ordered := make([]member.Member, len(all))
	for i, r := range all {
		ordered[i] = live[r.index]
	}
	return ordered
}
