package telemetry

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// SetOrganisations sets the organisations of the rules in force. The first of them by name have a label of their own, those that had
// one before preferred; the counts of others end.
func (m *Metrics) SetOrganisations(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inForce := make(map[string]bool, len(names))
	for _, name := range names {
		inForce[name] = true
	}
	for name := range maps.Clone(m.labelledOrganisations) {
		if !inForce[name] {
			delete(m.labelledOrganisations, name)
			m.organisations.DeletePartialMatch(prometheus.Labels{"organisation": name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		if len(m.labelledOrganisations) == maxOrganisations {
			return
		}
		m.labelledOrganisations[name] = true
	}
}

// OrganisationDone counts a request of the organisation by its outcome.
func (m *Metrics) OrganisationDone(name, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelledOrganisations[name] {
		name = other
	}
	m.organisations.WithLabelValues(name, outcome).Inc()
}

// IdentityRefused counts a request that was refused because of its key or its organisation.
func (m *Metrics) IdentityRefused(reason string) {
	m.identityRefusals.WithLabelValues(reason).Inc()
}
