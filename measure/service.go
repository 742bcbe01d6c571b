package measure

import "time"

// Service is one service of a deployment in section 1.7 of the design.
type Service struct {
	Deployment, Name string
	// Domains is the number of failure domains, OneWay the one-way delay of the links between them.
	Domains int
	OneWay  time.Duration
	// Instances is the number of upstreams, Slots the slots of each.
	Instances, Slots int
	// VMs is the number of entry VMs.
	VMs int
	// Idempotent reports whether a request may run twice.
	Idempotent bool
}

// Sizes and delays common to all services.
const (
	// meanWork is the mean service time of a request that is not long, at normal speed.
	meanWork = 8 * time.Millisecond
	// clientDelay is the one-way delay between a caller and an entry VM, localDelay that between VMs of a failure domain.
	clientDelay = 3 * time.Millisecond
	localDelay  = 100 * time.Microsecond
	// clients is the number of callers.
	clients         = 48
	lifetime        = 5 * time.Second
	reportInterval  = 100 * time.Millisecond
	reportDelay     = 200 * time.Millisecond
	retransmitDelay = 200 * time.Millisecond
	retryRatio      = 0.2
	// longShare is the fraction of a group's slots that requests marked long may hold.
	longShare = 0.5
	// longWorkFactor is the factor by which long requests run longer than others.
	longWorkFactor = 50
)

// Services returns the services of both deployments; the largest and the smallest of each come first.
func Services() []Service {
	division := Service{Deployment: "division", Domains: 3, OneWay: 5 * time.Millisecond, Slots: 3, VMs: 15}
	talgljus := Service{Deployment: "talgljus", Domains: 4, OneWay: 3500 * time.Microsecond, Slots: 6, VMs: 16}
	service := func(s Service, name string, instances int, idempotent bool) Service {
		s.Name, s.Instances, s.Idempotent = name, instances, idempotent
		return s
	}
	return []Service{
		service(division, "lookups", 15, true),
		service(division, "transfers", 6, false),
		service(talgljus, "stock", 20, true),
		service(talgljus, "kiln", 8, false),
		service(division, "registrations", 7, false),
		service(division, "withdrawals", 6, false),
		service(talgljus, "orders", 10, false),
		service(talgljus, "notes", 8, false),
	}
}

// capacity returns the number of requests per second that the service can answer if all upstreams are healthy.
func (s *Service) capacity() float64 {
	return float64(s.Instances*s.Slots) / meanWork.Seconds()
}

// kind is a kind of request. share is its fraction of the requests, weight its weight in the queue.
type kind struct {
	share   float64
	weight  int
	timeout time.Duration
}

var kinds = []kind{
	{0.7, 1, 1000 * time.Millisecond},
	{0.2, 5, 700 * time.Millisecond},
	{0.1, 20, 500 * time.Millisecond},
}

// longKind is the kind of requests that are marked long.
var longKind = kind{0, 1, 4 * time.Second}
