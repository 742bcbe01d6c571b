package throttle

import (
	"math"
	"time"

	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// burstPart is the part of the tolerated excess by which bursts are extended. Without it, an organisation with one request per
	// second and a burst of one would often be refused below its limit, as its requests come at random. The rest is for delays.
	burstPart = 0.25
	// burstReturn is the part of the burst that is returned within each window, and maxReturn bounds it as a part of the rate. A limit
	// permits rate and burst in each window, of which a bucket that returns the rate only permits the burst once.
	burstReturn = 0.6
	maxReturn   = 0.12
	// returnCost is the part by which the bucket is smaller for what is returned of the burst, so that bucket and returns stay within the
	// tolerance of a window.
	returnCost = 2.0 / 3
	// slackPart is the part of the slack that a window may use besides its limit.
	slackPart = 0.5
	// settleTime is the time in which a surplus or debt of a bucket is used up or paid back. Below some 2.7 times the delay of the
	// control, about 0.4 s, the share would oscillate.
	settleTime = 1.0
	// nearPart is the part of the bucket below which an organisation counts as near its limit, and smallNearPart that of organisations
	// whose limit in requests per second is below smallPart of the slack. Small ones use much of their buckets by chance.
	nearPart      = 0.5
	smallNearPart = 1.0 / 3
	smallPart     = 0.25
	// lag is the usual time in seconds from a request to its arrival in the sums.
	lag = 0.3
	// firstSlot is the age in slots from which counts are complete.
	firstSlot = 2
	// maxRateSlots is the largest number of slots from which the rate of offered requests is taken.
	maxRateSlots = 12
	// finalSlots is the age in slots from which counts don't change any more. Reports are at most some 1.5 s late.
	finalSlots = 12
	// silentSlots is the number of slots after which the silence of a failure domain is noticed.
	silentSlots = 6
)

// rateSlots holds the numbers of slots, besides maxRateSlots, from which the rate of offered requests is taken if it differs from that of
// a longer time by more than changeFactor and changeDeviations standard deviations.
var rateSlots = []int{8, 4, 2}

const (
	changeFactor     = 1.15
	changeDeviations = 2
)

// Config holds the tolerance of the limits.
type Config struct {
	Window time.Duration
	// Overage is the tolerated excess as a part of the requests that a limit permits in the window, and Slack a number of requests.
	Overage, Slack float64
}

// Limit is a limit in requests per second and in requests.
type Limit struct {
	Rate, Burst float64
	// Part is the part of the limit that may be used, from 0 to 1.
	Part float64
}

// Decision is the result for an organisation.
type Decision struct {
	// Share is the part of the offered requests that may be admitted.
	Share float64
	// IsNear reports whether the organisation is near its limit.
	IsNear bool
}

// bucket is the state of an organisation's token bucket: its level before the slot with the index base, and the tokens that the
// slots from base on have brought.
type bucket struct {
	level        float64
	base, latest int64
	grants       [usage.Kept]float64
	limit        Limit
	// share is the share of the last decision, made at the time decided in slots, and effective the share that is in effect at the VMs.
	share, effective, decided float64
}

// Controller holds the token buckets. It isn't safe for concurrent use.
type Controller struct {
	config  Config
	slot    float64
	buckets map[uint64]*bucket
}

// New returns a controller with full buckets.
func New(c Config) *Controller {
	return &Controller{config: c, slot: c.Window.Seconds() / usage.Slots, buckets: make(map[uint64]*bucket)}
}

// capacity returns the size of the bucket.
func (c *Controller) capacity(l Limit) float64 {
	burst := l.Burst - returnCost*c.returned(l)*c.config.Window.Seconds()
	return l.Part * (burst + burstPart*(c.config.Overage*(l.Rate*c.config.Window.Seconds()+l.Burst)+c.config.Slack))
}

// returned returns the rate at which the burst is returned. Small organisations get nothing returned: delays of the control take a larger
// part of their tolerance, whose slack is more than their burst.
func (c *Controller) returned(l Limit) float64 {
	if l.Rate < c.config.Slack {
		return 0
	}
	return min(burstReturn*l.Burst/c.config.Window.Seconds(), maxReturn*l.Rate)
}

// refill returns the rate at which the bucket is filled.
func (c *Controller) refill(l Limit) float64 {
	return l.Part * (l.Rate + c.returned(l))
}

// nearPart returns the part of the bucket below which the organisation is near its limit.
func (c *Controller) nearPart(l Limit) float64 {
	if l.Rate < smallPart*c.config.Slack {
		return smallNearPart
	}
	return nearPart
}

// grant returns the tokens of the slot.
func (b *bucket) grant(index int64) *float64 {
	return &b.grants[(index%usage.Kept+usage.Kept)%usage.Kept]
}

// Decide returns the decision for the organisation with the limit and the counts by their age in slots before the index; passed
// is the fraction of the present slot that has passed.
func (c *Controller) Decide(id uint64, l Limit, counts *[usage.Kept]usage.Count, index int64, passed float64) Decision {
	capacity := c.capacity(l)
	tokens := c.refill(l) * c.slot
	b := c.buckets[id]
	if b == nil || index-b.base >= usage.Slots {
		b = &bucket{level: capacity, base: index - usage.Slots + 1, latest: index - usage.Slots, limit: l, share: 1, effective: 1}
		c.buckets[id] = b
	}
	if l.Part < b.limit.Part {
		// A failure domain has become silent, which is noticed late. It has had its part of the tokens since then itself.
		for i := max(b.base, index-silentSlots); i <= b.latest; i++ {
			*b.grant(i) = min(*b.grant(i), tokens)
		}
	}
	b.limit = l
	for i := max(b.base, b.latest+1); i <= index; i++ {
		*b.grant(i) = tokens
	}
	b.latest = index
	for ; b.base <= index-finalSlots; b.base++ {
		b.level = after(b.level, *b.grant(b.base), capacity) - float64(counts[index-b.base].Admitted())
	}
	level := b.level
	for i := b.base; i <= index; i++ {
		granted := *b.grant(i)
		if i == index {
			granted *= passed
		}
		level = after(level, granted, capacity) - float64(counts[index-i].Admitted())
	}
	return c.share(b, level, float64(index)+passed, counts)
}

// after returns the level of a bucket after tokens have been added. The tokens of a slot always fit: after a limit has fallen, they may
// be more than the bucket holds, and were used in that slot.
func after(level, tokens, capacity float64) float64 {
	return min(max(capacity, tokens), level+tokens)
}

// share returns the decision for the level of the bucket; now is the time in slots.
func (c *Controller) share(b *bucket, level, now float64, counts *[usage.Kept]usage.Count) Decision {
	offered, capacity := c.offered(counts), c.capacity(b.limit)
	b.effective += (b.share - b.effective) * min((now-b.decided)*c.slot/lag, 1)
	// Requests that have been admitted since the counts were made.
	unknown := lag * offered * b.effective
	allowed := c.refill(b.limit) + (level-unknown)/settleTime
	allowed = max(min(allowed, (c.windowLeft(b.limit, counts)-unknown)/settleTime), 0)
	b.share, b.decided = 1, now
	if offered > allowed {
		b.share = allowed / offered
	}
	return Decision{Share: b.share, IsNear: b.share < 1 || level < capacity*c.nearPart(b.limit)}
}

// windowLeft returns the number of requests that the limit leaves for the next settleTime of a window that began earlier. After a sudden
// rise, the bucket alone pays back too slowly for the window of the rise.
func (c *Controller) windowLeft(l Limit, counts *[usage.Kept]usage.Count) float64 {
	left := l.Part * (l.Rate*c.config.Window.Seconds() + l.Burst + slackPart*c.config.Slack)
	for _, n := range counts[:usage.Slots-int(math.Round(settleTime/c.slot))] {
		left -= float64(n.Admitted())
	}
	return left
}

// offered returns the rate of offered requests: that of the longest time, unless shorter ones differ much from it.
func (c *Controller) offered(counts *[usage.Kept]usage.Count) (rate float64) {
	rate = c.rate(counts, firstSlot, maxRateSlots)
	for _, slots := range rateSlots {
		// The latest slots are incomplete, so that they count only if they show a higher rate.
		for first := firstSlot; first >= 0; first-- {
			r := c.rate(counts, first, slots)
			deviation := changeDeviations * math.Sqrt(r/(float64(slots)*c.slot))
			if r-deviation > changeFactor*rate || first == firstSlot && (r+deviation)*changeFactor < rate {
				rate = r
			}
		}
	}
	return rate
}

// rate returns the rate of offered requests in so many slots from the first one on.
func (c *Controller) rate(counts *[usage.Kept]usage.Count, first, slots int) float64 {
	sum := 0
	for _, n := range counts[first : first+slots] {
		sum += int(n.Offered)
	}
	return float64(sum) / (float64(slots) * c.slot)
}

// IsFree reports whether an organisation with so many requests in the window is far below its limit, so that nothing needs to be
// decided.
func (c *Controller) IsFree(l Limit, offered int) bool {
	return float64(offered) < c.capacity(l)*(1-c.nearPart(l))
}

// Retain drops the buckets of organisations that are not active. Theirs are full when they return.
func (c *Controller) Retain(isActive func(id uint64) bool) {
	for id := range c.buckets {
		if !isActive(id) {
			delete(c.buckets, id)
		}
	}
}
