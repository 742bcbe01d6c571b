package declaration

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/document"
)

// Parse parses the text of the operators' file with the given name. If the file is invalid, the error carries all
// findings (finding.Of), each with file name, line and column.
func Parse(name string, text []byte) (*Declaration, error) {
	doc, root := document.Parse(name, text)
	p := parser{domains: map[string]bool{}, tenants: map[string]bool{}, seen: map[string]bool{}}
	d := p.declaration(root)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// parser records the names parsed so far to check references and find duplicates.
type parser struct {
	domains, tenants map[string]bool
	// seen holds the names, prefixed by their scope, and the addresses of upstreams.
	seen        map[string]bool
	maxEntryVMs int
}

func (p *parser) declaration(t *document.Table) *Declaration {
	d := &Declaration{
		MaxEntryVMs:     document.Get(t, "max-entry-vms", document.Setting[int]{Check: document.Range(1, 1024)}),
		AddressLifetime: document.Get(t, "address-lifetime", optional(5*time.Second, document.Range(time.Second, time.Minute))),
		Tenants:         t.Strings("tenants", false, document.Name),
	}
	p.maxEntryVMs = d.MaxEntryVMs
	for _, name := range d.Tenants {
		p.tenants[name] = true
	}
	for _, f := range t.Tables("failure-domain") {
		d.FailureDomains = append(d.FailureDomains, p.failureDomain(f))
	}
	for _, s := range t.Tables("service") {
		d.Services = append(d.Services, p.service(s))
	}
	t.CheckUnknown()
	slices.Sort(d.Tenants)
	slices.SortFunc(d.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

func (p *parser) failureDomain(t *document.Table) FailureDomain {
	f := FailureDomain{
		Name:   p.name(t, "failure domain"),
		Region: document.Get(t, "region", document.Setting[string]{Check: document.Name}),
	}
	p.domains[f.Name] = true
	t.CheckUnknown()
	return f
}

func (p *parser) service(t *document.Table) Service {
	s := Service{
		Name:            p.name(t, "service"),
		Tenant:          reference(t, "tenant", p.tenants),
		Connections:     document.Get(t, "connections", document.Setting[int]{Check: document.Range(1, 100000)}),
		ProbesPerSecond: document.Get(t, "probes-per-second", optional(1, document.Range(0.0, 1000))),
		RetryRatio:      document.Get(t, "retry-ratio", optional(0.2, document.Range(0.0, 0.2))),
		QueueLength:     document.Get(t, "queue-length", optional(1024, document.Range(1, 100000))),
		LongShare:       document.Get(t, "long-share", optional(0.5, document.Range(0.0, 1))),
		MaxBody:         document.Get(t, "max-body", optional(1<<20, document.Range(0, 16<<20))),
		MaxAnswer:       document.Get(t, "max-answer", optional(4<<20, document.Range(1, 64<<20))),
	}
	if s.Connections > 0 && s.Connections < p.maxEntryVMs {
		t.Report("connections", "%d connections can't be shared by max-entry-vms = %d; at least one for each expected",
			s.Connections, p.maxEntryVMs)
	}
	for _, k := range t.Tables("kind") {
		s.Kinds = append(s.Kinds, p.kind(k, s.Name))
	}
	for _, u := range t.Tables("upstream") {
		s.Upstreams = append(s.Upstreams, p.upstream(u))
	}
	t.CheckUnknown()
	return s
}

func (p *parser) kind(t *document.Table, service string) Kind {
	k := Kind{
		Name:       p.name(t, "kind of service "+service),
		Idempotent: document.Get(t, "idempotent", document.Setting[bool]{}),
		Long:       document.Get(t, "long", optional(false, nil)),
		Weight:     document.Get(t, "weight", optional(1, document.Range(1, 1000))),
		Timeout:    document.Get(t, "timeout", document.Setting[time.Duration]{Check: document.Range(time.Millisecond, MaxTimeout)}),
	}
	k.Class = document.Get(t, "class", optional(k.Name, document.Name))
	t.CheckUnknown()
	return k
}

func (p *parser) upstream(t *document.Table) Upstream {
	u := Upstream{
		Name:          p.name(t, "upstream"),
		Address:       document.Get(t, "address", document.Setting[string]{Check: document.Address}),
		FailureDomain: reference(t, "failure-domain", p.domains),
		Slots:         document.Get(t, "slots", document.Setting[int]{Check: document.Range(1, 1000)}),
		Leaving:       document.Get(t, "leaving", optional(false, nil)),
	}
	p.unique(t, "address", "address", u.Address)
	t.CheckUnknown()
	return u
}

// name reads the setting "name", which must be unique among the names of its scope.
func (p *parser) name(t *document.Table, scope string) string {
	name := document.Get(t, "name", document.Setting[string]{Check: document.Name})
	p.unique(t, "name", scope, name)
	return name
}

func (p *parser) unique(t *document.Table, setting, scope, value string) {
	if value == "" {
		return
	}
	if scoped := scope + "\x00" + value; p.seen[scoped] {
		t.Report(setting, "another %s has the value %q", scope, value)
	} else {
		p.seen[scoped] = true
	}
}

// reference reads a setting whose value must be one of the known names.
func reference(t *document.Table, name string, known map[string]bool) string {
	return document.Get(t, name, document.Setting[string]{Check: func(s string) string {
		if problem := document.Name(s); problem != "" {
			return problem
		}
		if !known[s] {
			return "no " + name + " of the file has the name \"" + s + "\""
		}
		return ""
	}})
}

func optional[T any](value T, check func(T) string) document.Setting[T] {
	return document.Setting[T]{Optional: true, Default: value, Check: check}
}
