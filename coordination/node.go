package coordination

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/aggregate"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/gate"
	"github.com/fulmarhitch/fulmarhitch/throttle"
	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// slowRound is the time between two reports of a VM, and fastRound that with requests of organisations near their limits. That of
	// relays to which others report is relayTime for each relay of the fleet, and at least fastRound.
	slowRound = time.Second
	relayTime = 6 * time.Millisecond
	fastRound = 250 * time.Millisecond
	// earlyGap is the shortest time between two reports.
	earlyGap = 100 * time.Millisecond
	// maxShareAge is the time for which a relay passes on the last shares. It covers the change of the coordinator, which takes some
	// two seconds.
	maxShareAge = 2500 * time.Millisecond
	// watchTime is the time for which an organisation whose demand has risen suddenly counts as near its limit.
	watchTime = 2 * time.Second
	// urgentTime is the time for which relays report at the shortest intervals after a demand has risen or a share has fallen much.
	urgentTime = 600 * time.Millisecond
	// expiryInterval is the time between two searches for counts that have left the window, which take some 5 ms at the coordinator of
	// 3,000 VMs.
	expiryInterval = time.Second
	// commonShares is the number of shares that are sent to VMs that have not reported the organisations, as demand may move to them.
	commonShares = 16
	// fallFactor is the factor by which a share falls before VMs are told at once.
	fallFactor = 0.5
	// smallPart is the part of the slack below which the limit of an organisation in requests per second is small. Some eight times as
	// many requests come in the second until a VM hears of a new share.
	smallPart = 1.0 / 8
)

// Limit is an organisation's limit.
type Limit struct {
	Organisation string
	throttle.Limit
}

// Config holds the dependencies of a node.
type Config struct {
	// Self is this process's VM, and Reporter a number that identifies the process.
	Self     fleet.VM
	Reporter uint64
	// Relays returns the relays of the fleet.
	Relays func() []fleet.VM
	// IsSettled reports whether the fleet is known well enough to decide for it.
	IsSettled func() bool
	// Limits returns the limits by the identifiers of the organisations.
	Limits   func() map[uint64]Limit
	Throttle throttle.Config
	Gate     *gate.Gate
	Log      *logrus.Entry
}

// role is the role of a VM in the exchange.
type role int

const (
	unknownRole role = iota
	vmRole
	relayRole
)

// Node is one VM in the exchange of reports. It is safe for concurrent use.
type Node struct {
	config Config

	mu   sync.Mutex
	role role
	// vms holds the reports of VMs, if this VM is a relay, and surge those of the last moments.
	vms   *aggregate.Table
	surge surge
	// unreported are the reports of VMs since the last full report of this relay.
	unreported tally
	// hasVMs reports whether other VMs report to this one.
	hasVMs      bool
	coordinator *coordinator
	uplink      uplink
	sequence    uint64
	// ownRevision is the revision of this VM's counts that vms holds.
	ownRevision uint64
	isOwnKnown  bool
	// shares are the last ones, in the coordinator's order, and values the same by organisation, with those that are watched. sharesAt
	// is the time at which the call that brought them was sent.
	shares   []Share
	values   map[uint64]float64
	sharesAt time.Time
	// watched holds the times until which organisations are watched after a sudden rise.
	watched map[uint64]time.Time
	// mustPush reports whether VMs that report to this one are to be told the shares at once.
	mustPush bool
	// urgentUntil is the end of the time in which this VM reports at the shortest intervals, if it is a relay.
	urgentUntil time.Time
	// parts are this relay's parts of the demand of organisations.
	parts map[uint64]float64
	// isNear reports whether organisations near their limits have sent requests since the last report, and isEarly whether the next
	// one is due at once.
	isNear, isEarly bool
	last, lastFull  time.Time
	lastExpiry      time.Time
	hadShares       bool
	sent, failed    uint64
}

// New returns a node without reports.
func New(c Config, now time.Time) *Node {
	return &Node{
		config: c, vms: aggregate.New(c.Throttle.Window, now), coordinator: newCoordinator(c, now),
		uplink: uplink{links: make(map[string]*link)}, parts: make(map[uint64]float64), watched: make(map[uint64]time.Time), unreported: newTally(),
	}
}

// Wake makes the next report due early: within the fast round, or at once if an organisation suddenly sends more.
func (n *Node) Wake(isSudden bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isNear = true
	n.isEarly = n.isEarly || isSudden
}

// Next returns the time at which the next call is due.
func (n *Node) Next() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mustPush || n.coordinator.mustPush {
		return time.Time{}
	}
	return n.nextReport()
}

// nextReport returns the time at which the next report is due; the caller holds mu.
func (n *Node) nextReport() time.Time {
	switch {
	case n.isEarly, n.isNear && n.role == relayRole && n.last.Before(n.urgentUntil):
		return n.last.Add(earlyGap)
	case n.isNear:
		return n.last.Add(fastRound)
	case n.role == relayRole && n.hasVMs:
		return n.last.Add(max(time.Duration(len(n.uplink.order))*relayTime, fastRound))
	default:
		return n.last.Add(slowRound)
	}
}

// Poll returns the calls that are due. Done must be called with the result of each.
func (n *Node) Poll(now time.Time) []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.pollReport(now)
	return append(calls, n.pushes(now)...)
}

// pollReport returns the call with this VM's report, and perhaps a probe, if they are due; the caller holds mu.
func (n *Node) pollReport(now time.Time) (calls []Call) {
	if now.Before(n.nextReport()) || n.uplink.isBusy {
		return nil
	}
	if len(n.config.Limits()) == 0 {
		n.last, n.isEarly, n.isNear = now, false, false
		return nil
	}
	n.logShares(now)
	order := n.uplink.sort(n.config.Self, n.config.Relays())
	n.setRole(order, now)
	if now.Sub(n.lastExpiry) >= expiryInterval {
		n.lastExpiry = now
		n.coordinator.expire(now)
		n.vms.Expire(now)
	}
	isFull := n.isEarly || !n.isNear || now.Sub(n.lastFull) >= slowRound || n.hasVMs
	n.last, n.isEarly = now, false
	if isFull {
		n.lastFull = now
	}
	if n.role == vmRole {
		order = n.uplink.near
	}
	if n.role == relayRole && !n.isHeld(now) {
		// The relays before the first one that answers may be many, and the probes of all of them take as long as one call.
		n.uplink.suspectUnproven(order, n.config.Self.Name, now)
	}
	to, probes := n.uplink.choose(order, now)
	if to == nil {
		return nil
	}
	for _, vm := range probes {
		calls = append(calls, Call{To: vm, Request: Request{IsRelay: n.role == relayRole, IsProbe: true}, sent: now, role: n.role})
	}
	call := n.report(*to, isFull, now)
	if to.Name == n.config.Self.Name {
		answer := n.coordinator.handle(call.Request, now)
		if answer.IsUnknown {
			n.uplink.link(*to).isKnown = false
			call = n.report(*to, true, now)
			answer = n.coordinator.handle(call.Request, now)
		}
		n.accept(call, answer, now)
		return calls
	}
	n.uplink.isBusy = true
	n.sent++
	return append(calls, call)
}

// pushes returns calls that bring new shares to the VMs that report to this one, if these must not wait for their next report; the
// caller holds mu.
func (n *Node) pushes(now time.Time) (calls []Call) {
	since := now.Add(-maxSilence)
	if c := n.coordinator; c.mustPush {
		c.mustPush = false
		n.update(c.shares, now)
		n.push(now)
		for _, address := range c.relays.Addresses(since) {
			if address != n.config.Self.PeerAddress {
				calls = append(calls, newPush(address, c.shares))
			}
		}
	}
	if n.mustPush {
		n.mustPush = false
		for _, address := range n.vms.Addresses(since) {
			calls = append(calls, newPush(address, n.passedOn(now)))
		}
	}
	n.sent += uint64(len(calls))
	return calls
}

// newPush returns a call that brings the shares.
func newPush(address string, shares []Share) Call {
	return Call{To: fleet.VM{PeerAddress: address}, Request: Request{IsPush: true, Shares: shares[:min(len(shares), commonShares)]}}
}

// setRole takes on the role that the relays suggest. A VM to which others report is a relay too.
func (n *Node) setRole(order []fleet.VM, now time.Time) {
	r := vmRole
	if slices.ContainsFunc(order, func(vm fleet.VM) bool { return vm.Name == n.config.Self.Name }) || n.vms.Reporters(now.Add(-maxSilence)) > 1 {
		r = relayRole
	}
	if r != n.role {
		n.role = r
		// The revisions are those of other counts.
		n.uplink.reset()
		n.isOwnKnown = false
	}
}

// report returns the call with this VM's report; the caller holds mu.
func (n *Node) report(to fleet.VM, isFull bool, now time.Time) Call {
	l := n.uplink.link(to)
	isFull = isFull || !l.isKnown
	after := l.near
	if isFull {
		after = l.full
	}
	c := Call{To: to, sent: now, isFull: isFull, role: n.role}
	c.Request = Request{IsRelay: n.role == relayRole, Report: n.newReport(!l.isKnown)}
	r := &c.Request
	if r.Whole {
		after, r.Address = 0, n.config.Self.PeerAddress
	}
	if n.role == vmRole {
		r.Entries, c.revision, n.isNear = n.config.Gate.Changes(after, now)
		r.Index = n.config.Gate.Index(now)
	} else {
		n.recordOwn(now)
		r.Entries, c.revision = n.vms.Total().Changes(after, now)
		r.Index, _ = n.vms.Total().Index(now)
		n.isNear = false
		for i, e := range r.Entries {
			r.Entries[i].Part = n.parts[e.ID]
			_, isNear := n.values[e.ID]
			n.isNear = n.isNear || isNear
		}
		r.VMs = n.vms.Reporters(now.Add(-maxSilence))
		n.hasVMs = r.VMs > 1
		if isFull {
			r.Reports = n.unreported.reports
			for i, e := range r.Entries {
				r.Entries[i].Fresh = n.unreported.fresh[e.ID]
			}
			n.unreported = newTally()
		}
	}
	if !isFull {
		r.Entries = slices.DeleteFunc(r.Entries, func(e usage.Entry) bool { _, isNear := n.values[e.ID]; return !isNear })
	}
	return c
}

// newReport returns a report without counts; the caller holds mu.
func (n *Node) newReport(isWhole bool) aggregate.Report {
	n.sequence++
	return aggregate.Report{
		Reporter: n.config.Reporter, Sequence: n.sequence, Whole: isWhole, FailureDomain: n.config.Self.FailureDomain,
	}
}

// recordOwn adds this VM's own counts to those of the VMs that report to it; the caller holds mu.
func (n *Node) recordOwn(now time.Time) {
	for {
		if !n.isOwnKnown {
			n.ownRevision = 0
		}
		r := n.newReport(!n.isOwnKnown)
		r.Entries, n.ownRevision, _ = n.config.Gate.Changes(n.ownRevision, now)
		r.Index = n.config.Gate.Index(now)
		if n.isOwnKnown = n.vms.Record(r, now); n.isOwnKnown {
			n.notice(r, now)
			return
		}
	}
}

// logShares logs when this VM has lost its shares, or has them again; the caller holds mu.
func (n *Node) logShares(now time.Time) {
	age, isValid := n.config.Gate.ShareAge(now)
	switch {
	case n.hadShares && !isValid:
		n.config.Log.WithField("age-ms", age.Milliseconds()).Warn("no valid shares of the limits; admitting this VM's own part")
	case !n.hadShares && isValid:
		n.config.Log.Info("shares of the limits received")
	}
	n.hadShares = isValid
}

// Done takes over the result of a call.
func (n *Node) Done(c Call, answer Answer, err error, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.failed++
	}
	if c.Request.IsPush {
		return
	}
	l := n.uplink.link(c.To)
	if c.Request.IsProbe {
		if err != nil {
			l.fail(err, n.isHeld(now), now)
		} else {
			l.succeed(now)
		}
		return
	}
	n.uplink.isBusy = false
	if err != nil {
		if n.uplink.failingSince.IsZero() {
			n.uplink.failingSince = c.sent
		}
		l.fail(err, n.isHeld(now), now)
		if n.role == relayRole && !n.sharesAt.IsZero() {
			// A relay's own requests go by the last shares for as long as those of the VMs that report to it.
			n.config.Gate.SetShares(n.values, earlier(now, n.sharesAt.Add(maxShareAge-gate.Validity)))
		}
		// The next round follows soon, with another receiver if this one can't be reached for too long.
		n.isEarly = true
		return
	}
	n.accept(c, answer, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isHeld reports whether a receiver that doesn't answer is not replaced yet; the last shares hold meanwhile. The caller holds mu.
func (n *Node) isHeld(now time.Time) bool {
	return n.role == relayRole && (n.uplink.failingSince.IsZero() || now.Sub(n.uplink.failingSince) < takeoverTime)
}

// accept takes over an answer; the caller holds mu.
func (n *Node) accept(c Call, answer Answer, now time.Time) {
	l := n.uplink.link(c.To)
	l.succeed(now)
	n.uplink.failingSince = time.Time{}
	if c.role != n.role {
		return
	}
	l.isKnown = !answer.IsUnknown
	if answer.IsUnknown {
		n.isEarly = true
	} else {
		l.near = c.revision
		if c.isFull {
			l.full = c.revision
		}
	}
	if n.role == relayRole && n.uplink.setCoordinator(c.To.Name) {
		n.config.Log.WithField("coordinator", c.To.Name).Info("coordinator of the limits changed")
	}
	n.setParts(answer.Parts)
	if !answer.IsDecided || c.sent.Before(n.sharesAt) {
		return
	}
	n.sharesAt = c.sent
	n.update(answer.Shares, now)
	n.config.Gate.SetShares(n.values, c.sent)
}

// setParts takes over this relay's parts of the demand of organisations; the caller holds mu.
func (n *Node) setParts(parts []Part) {
	for _, p := range parts {
		n.parts[p.ID] = p.Value
	}
	if len(n.parts) <= 2*n.vms.Total().Len()+100 {
		return
	}
	active := make(map[uint64]float64)
	for id := range n.vms.Total().IDs {
		if part, ok := n.parts[id]; ok {
			active[id] = part
		}
	}
	n.parts = active
}

// update takes over shares; the caller holds mu.
func (n *Node) update(shares []Share, now time.Time) {
	old := n.values
	n.shares, n.values = shares, make(map[uint64]float64, len(shares)+len(n.watched))
	for id, until := range n.watched {
		if now.After(until) {
			delete(n.watched, id)
			continue
		}
		n.values[id] = 1
	}
	for _, s := range shares {
		n.values[s.ID] = s.Value
	}
	if n.config.isUrgent(old, n.values) {
		n.push(now)
	}
	if n.config.Gate.UpdateShares(n.values) {
		n.isNear, n.isEarly = true, true
	}
}

// push makes the VMs that report to this one hear of the shares at once; the caller holds mu.
func (n *Node) push(now time.Time) {
	n.mustPush, n.urgentUntil = true, now.Add(urgentTime)
}

// isUrgent reports whether shares have fallen so much that VMs have to be told at once. Small organisations can wait, because the slack
// covers their requests.
func (c Config) isUrgent(old, updated map[uint64]float64) bool {
	limits := c.Limits()
	for id, value := range updated {
		if limits[id].Rate < smallPart*c.Throttle.Slack {
			continue
		}
		before, known := old[id]
		if !known {
			before = 1
		}
		if value < fallFactor*before {
			return true
		}
	}
	return false
}

// Handle answers the report of another VM, or takes over the shares that it brings.
func (n *Node) Handle(r Request, now time.Time) Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case r.IsPush:
		// A VM that has no shares yet waits for the answer to its report.
		if !n.sharesAt.IsZero() {
			n.update(r.Shares, now)
			n.push(now)
		}
		return Answer{}
	case r.IsProbe:
		return Answer{IsUnknown: true}
	case r.IsRelay:
		return n.coordinator.handle(r, now)
	}
	if !n.vms.Record(r.Report, now) {
		return Answer{IsUnknown: true}
	}
	n.notice(r.Report, now)
	if n.sharesAt.IsZero() || now.Sub(n.sharesAt) > maxShareAge {
		return Answer{}
	}
	return Answer{IsDecided: true, Shares: selectShares(n.passedOn(now), func(id uint64) bool { return n.vms.Has(r.Reporter, id) })}
}

// passedOn returns the shares for VMs: those of the coordinator and of the organisations that are watched; the caller holds mu.
func (n *Node) passedOn(now time.Time) []Share {
	var list []Share
	for id, until := range n.watched {
		if now.Before(until) && !slices.ContainsFunc(n.shares, func(s Share) bool { return s.ID == id }) {
			list = append(list, Share{id, 1})
		}
	}
	return append(list, n.shares...)
}

// notice makes the next report of this relay due early if the report shows that organisations need that; the caller holds mu.
func (n *Node) notice(r aggregate.Report, now time.Time) {
	index, _ := n.vms.Total().Index(now)
	tally := n.surge.at(index)
	tally.reports++
	n.unreported.reports++
	limits, reporters := n.config.Limits(), n.vms.Reporters(now.Add(-maxSilence))
	for _, e := range r.Entries {
		counts := n.vms.Total().Counts(e.ID, index)
		usual := expected(&counts, reporters)
		if f := bounded(fresh(e), usual); f > 0 {
			tally.fresh[e.ID] += f
			n.unreported.fresh[e.ID] += f
		}
		if _, isNear := n.values[e.ID]; isNear {
			n.isNear = true
			continue
		}
		l, ok := limits[e.ID]
		if !ok {
			continue
		}
		part := n.parts[e.ID]
		if part == 0 {
			part = 1 / float64(max(len(n.config.Relays()), 1))
		}
		if n.surge.has(e.ID, part*n.config.surgeRate(l), usual, surgeExcess(len(limits))+relayExcess*float64(len(n.uplink.order)), reporters, n.config.slot()) {
			n.watched[e.ID] = now.Add(watchTime)
			n.update(n.shares, now)
			n.push(now)
			n.isEarly = true
		}
	}
}

// surgeRate returns the rate in requests per second from which a sudden rise matters. Below it, the slack covers the time until reports show
// the rise anyway.
func (c Config) surgeRate(l Limit) float64 {
	return max(l.Rate, c.Throttle.Slack/2)
}

// slot returns the length of a slot in seconds.
func (c Config) slot() float64 {
	return c.Throttle.Window.Seconds() / usage.Slots
}

// Status is the state of a node for metrics.
type Status struct {
	// Sent and Failed are the numbers of calls.
	Sent, Failed uint64
	// Coordinates reports whether this VM decides for other VMs.
	Coordinates bool
}

// Status returns the state of the node.
func (n *Node) Status(now time.Time) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{Sent: n.sent, Failed: n.failed, Coordinates: n.coordinator.isActive(now)}
}

// selectShares returns the first shares, and those of the organisations that the receiver has reported.
func selectShares(shares []Share, hasReported func(id uint64) bool) []Share {
	if len(shares) <= commonShares {
		return shares
	}
	selected := slices.Clone(shares[:commonShares])
	for _, s := range shares[commonShares:] {
		if hasReported(s.ID) {
			selected = append(selected, s)
		}
	}
	return selected
}
