package declaration

import "time"

// Declaration is the content of a valid operators' file.
type Declaration struct {
	// MaxEntryVMs bounds the number of entry VMs; each VM's share of a fleet-wide limit is the limit divided by it.
	MaxEntryVMs int
	// AddressLifetime is how long a caller may cache an address answer.
	AddressLifetime time.Duration
	// FailureDomains, Tenants and Services are sorted by name.
	FailureDomains []FailureDomain
	Tenants        []string
	Services       []Service
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	Name, Region string
}

// Service is a set of upstreams that run the same kinds of request.
type Service struct {
	Name, Tenant string
	// Connections bounds the connections to each upstream over all entry VMs.
	Connections int
	// ProbesPerSecond bounds the probes to each upstream over all entry VMs.
	ProbesPerSecond float64
	// RetryRatio is the number of retries allowed per offered request, at most 0.2.
	RetryRatio float64
	// QueueLength bounds the requests that wait in one group.
	QueueLength int
	// LongShare is the fraction of a group's slots that long requests may hold.
	LongShare float64
	// MaxBody and MaxAnswer bound the bodies of requests and answers in bytes.
	MaxBody, MaxAnswer int
	Kinds              []Kind
	Upstreams          []Upstream
}

// Kind is a kind of request that a service runs.
type Kind struct {
	Name string
	// Class names a set of kinds with similar run times.
	Class string
	// Idempotent reports whether a request of the kind may run more than once.
	Idempotent bool
	// Long marks requests that count against the service's LongShare.
	Long bool
	// Weight is the value of an answer before the deadline, 1 to 1000.
	Weight int
	// Timeout bounds the deadline of a request.
	Timeout time.Duration
}

// Upstream is one instance of a service.
type Upstream struct {
	Name string
	// Address is the IP address and port.
	Address       string
	FailureDomain string
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// Leaving marks an upstream that gets no new requests.
	Leaving bool
}

// Service returns the service with the name, or nil.
func (d *Declaration) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Kind returns the kind with the name, or nil.
func (s *Service) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}
