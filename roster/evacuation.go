package roster

// SetEvacuated replaces the evacuated failure domains, whose upstreams take no requests.
func (r *Roster) SetEvacuated(domains []string) {
	evacuated := make(map[string]bool, len(domains))
	for _, domain := range domains {
		evacuated[domain] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated, r.usable = evacuated, nil
}

// Evacuated returns the number of evacuated failure domains and that of the upstreams there that would take requests otherwise.
func (r *Roster) Evacuated() (domains, upstreams int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.evacuated), r.countEvacuated(func(Upstream) bool { return true })
}

// UnknownEvacuated returns the evacuated failure domains to which no upstream belongs.
func (r *Roster) UnknownEvacuated() (domains []string) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.evacuated) == 0 {
		return nil
	}
	known := make(map[string]bool)
	for _, u := range r.entries.All {
		known[u.FailureDomain] = true
	}
	for domain := range r.evacuated {
		if !known[domain] {
			domains = append(domains, domain)
		}
	}
	return domains
}

// IsServiceEvacuated reports whether upstreams of the service would take requests if their failure domains were not evacuated.
func (r *Roster) IsServiceEvacuated(service string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.countEvacuated(func(u Upstream) bool { return u.Service == service }) > 0
}

// IsEvacuated reports whether the upstream with the ID must get nothing because its failure domain is evacuated. That of an upstream
// whose entry was removed meanwhile isn't known, so it counts as evacuated while any is.
func (r *Roster) IsEvacuated(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.evacuated) == 0 {
		return false
	}
	u, found, _ := r.entries.Get(id)
	return !found || r.evacuated[u.FailureDomain]
}

// countEvacuated returns the number of upstreams that only an evacuation keeps from taking requests; the caller holds mu.
func (r *Roster) countEvacuated(isCounted func(Upstream) bool) (n int) {
	if len(r.evacuated) == 0 {
		return 0
	}
	for _, u := range r.entries.All {
		if !u.Draining && r.evacuated[u.FailureDomain] && isCounted(u) {
			n++
		}
	}
	return n
}
