package crash

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/quarantine"
)

const (
	// trialTime is the time within which a request whose quarantine has ended shows whether it still crashes its upstream. It isn't known of
	// each request, so that it is longer than most take.
	trialTime = 5 * time.Second
	// maxTrials bounds the requests whose trials are remembered, and maxCauses the works with requests in quarantine and what is held of each.
	maxTrials = 4096
	maxCauses = 32
	// maxLatest bounds the latest deaths that are held of a fingerprint, by which causes are compared. With 8, what eight callers of crashing
	// requests share didn't explain the earlier deaths of each of them, and most of their harmless requests were refused.
	maxLatest = 64
	// manyDeaths is the number of deaths of similar requests of one caller, without an answer, that cause a quarantine also if they come
	// together: a request may crash three upstreams. Upstreams that die together for another reason seldom run so many, and others
	// answer the caller soon after.
	manyDeaths = 3
)

// Parts of a request as they are logged: the index of the fingerprint of the caller, and the number that stands for a feature.
const (
	callerPart  = 1
	featurePart = 3
)

// count counts the deaths without an answer since the time of the first one.
type count struct {
	deaths int
	since  time.Time
	// latest holds the latest deaths, maxLatest at most.
	latest []uint64
}

// countDeath counts a death for a fingerprint and returns the number in the last Span without an answer. The caller holds mu.
func (g *Guard) countDeath(fingerprint, death uint64, now time.Time) int {
	if len(g.counts) >= maxFingerprints {
		clear(g.counts)
	}
	c := g.counts[fingerprint]
	if now.Sub(c.since) > quarantine.Span {
		c = count{since: now}
	}
	if slices.Contains(c.latest, death) {
		return c.deaths
	}
	c.deaths++
	c.latest = append(slices.Clone(c.latest[max(len(c.latest)-maxLatest+1, 0):]), death)
	g.counts[fingerprint] = c
	return c.deaths
}

// add records a death of a request for the work under one of its fingerprints; the caller holds mu.
func (g *Guard) add(work uint64, e quarantine.Entry, part int) (added bool) {
	previous := g.table.Level(e.Fingerprint, e.At)
	if !g.table.Add(e, e.At) {
		return false
	}
	if previous != quarantine.Quarantined && g.table.Level(e.Fingerprint, e.At) == quarantine.Quarantined {
		g.log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint, "part": part, "deaths": e.Deaths}).Warn("request is in quarantine")
		g.addCause(work, e.Fingerprint)
	}
	return true
}

// addCause records that a fingerprint of a request for the work was put into quarantine; the caller holds mu.
func (g *Guard) addCause(work, fingerprint uint64) {
	causes := g.causes[work]
	switch {
	case slices.Contains(causes, fingerprint):
		return
	case len(g.causes) >= maxTrials:
		clear(g.causes)
	case len(causes) >= maxCauses:
		causes = causes[1:]
	}
	g.causes[work] = append(causes, fingerprint)
}

// hasOtherCause reports whether something that the request, with all its fingerprints, doesn't have explains the deaths of one of them:
// it is in quarantine for the same deaths. The caller holds mu.
func (g *Guard) hasOtherCause(work uint64, all []uint64, fingerprint uint64, now time.Time) bool {
	deaths := g.counts[fingerprint].latest
	return len(deaths) > 0 && slices.ContainsFunc(g.causes[work], func(cause uint64) bool {
		if slices.Contains(all, cause) || g.table.Quarantine(cause, now).Left == 0 {
			return false
		}
		explained := g.counts[cause].latest
		return !slices.ContainsFunc(deaths, func(d uint64) bool { return !slices.Contains(explained, d) })
	})
}

// tryOnce reports whether a request may be sent in spite of the quarantines of the fingerprints, which have ended or have another cause,
// and records that it is: one after the other, until one is answered. The caller holds mu.
func (g *Guard) tryOnce(fingerprints []uint64, now time.Time) bool {
	for _, f := range fingerprints {
		if last, isKnown := g.trials[f]; isKnown && now.Sub(last) < trialTime {
			return false
		}
	}
	if len(g.trials) >= maxTrials {
		clear(g.trials)
	}
	for _, f := range fingerprints {
		g.trials[f] = now
	}
	return true
}
