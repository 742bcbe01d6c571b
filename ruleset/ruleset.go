package ruleset

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/organisation"
)

// Set is one complete version of the routing rules; it must not be changed once it is in use.
type Set struct {
	// Version increases with each configuration.
	Version uint64
	// Hosts holds the rules of each host in descending order of prefix length.
	Hosts map[string][]*Rule
	// Services holds the services by name.
	Services map[string]Service
	// Limits bound what callers may send.
	Limits Limits
	// Organisations are those whose callers send keys, or nil if callers need none.
	Organisations *organisation.Directory
}

// Rule defines how requests of one host under one path prefix are served.
type Rule struct {
	// Name identifies the rule in logs and metrics.
	Name string
	// Host and Prefix select requests; Prefix begins and ends with a slash.
	Host, Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for an answer, or 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full value, or 0 if none is stated.
	Target time.Duration
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	// Priority is the priority of the rule; 0 is the most urgent, and larger numbers are less urgent.
	Priority int
	// Public reports whether requests need no key.
	Public bool
	// Parts are the services that share the rule's requests by weight; there is at least one.
	Parts []Part
}

// Part is a service's share of a rule's requests.
type Part struct {
	// Service names the service.
	Service string
	// Weight is relative to the weights of the rule's other parts.
	Weight float64
}

// Service holds the properties that all upstreams of a service share.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of the upstreams' health endpoint.
	HealthPath string
	// Connections is the number of connections that an upstream accepts from all callers in total.
	Connections int
	// WarmupRate is the number of requests per second that a cold upstream takes from all VMs together, or 0 if none is stated.
	WarmupRate float64
}

// Limits bound what callers may send and how long they may stay idle.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes; 0 means no stated limit.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to send the headers; IdleTimeout bounds the time between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Find returns the host's rule with the longest prefix of the path, or nil if there is none. A host without rules is also
// looked up without its port.
func (s *Set) Find(host, path string) *Rule {
	rules, ok := s.Hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			rules = s.Hosts[name]
		}
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// New returns a set of the given version, rules, services and limits.
func New(version uint64, rules []*Rule, services []Service, limits Limits) *Set {
	s := &Set{Version: version, Hosts: make(map[string][]*Rule), Services: make(map[string]Service), Limits: limits}
	for _, r := range rules {
		s.Hosts[r.Host] = append(s.Hosts[r.Host], r)
	}
	for _, hostRules := range s.Hosts {
		slices.SortStableFunc(hostRules, func(a, b *Rule) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		s.Services[service.Name] = service
	}
	return s
}
