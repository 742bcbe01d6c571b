package mirror

import (
	"maps"
	"slices"
)

// changeEvacuation begins or ends the evacuation of the failure domain.
func (m *Mirror) changeEvacuation(failureDomain string, isEvacuated bool) {
	next := maps.Clone(m.evacuated)
	if delete(next, failureDomain); isEvacuated {
		next[failureDomain] = true
	}
	m.setEvacuated(next)
}

// setEvacuated replaces the evacuated failure domains. A store that was restored from an older copy gets no grace period: operators
// can see whether the entry is in the store.
func (m *Mirror) setEvacuated(next map[string]bool) {
	if maps.Equal(next, m.evacuated) {
		return
	}
	m.config.Roster.SetEvacuated(slices.Sorted(maps.Keys(next)))
	for _, domain := range slices.Sorted(maps.Keys(next)) {
		if !m.evacuated[domain] {
			m.config.Log.WithField("evacuated", domain).Warn("failure domain is evacuated; sending nothing more to its upstreams")
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(m.evacuated)) {
		if !next[domain] {
			m.config.Log.WithField("evacuated", domain).Warn("failure domain is no longer evacuated")
		}
	}
	m.evacuated = next
}
