package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/key"
)

// Address is one entry VM in an address answer.
type Address struct {
	// Address is the IP address and port of the entry VM.
	Address string
	// Incarnation identifies the process of the entry VM.
	Incarnation uint64
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
}

// Addresses is the answer of an entry VM to an address request for one service, best address first.
type Addresses struct {
	Generation uint64
	Addresses  []Address
	// Asked is the time of the address request; the answer must not be used from Expires on.
	Asked, Expires time.Time
	// Now is the time of the answer on the entry VM's clock, by which its keys expire.
	Now time.Time
}

// key returns a new key for the address. The entry VM's clock shows at least Now plus the time since the answer arrived.
func (a *Addresses) key(to Address) key.Key {
	return key.New(to.Incarnation, a.Now.Add(time.Since(a.Asked)).Add(key.Lifetime))
}

const (
	maxAddresses   = 4
	maxAddressBody = 64 << 10 // bytes
	addressTimeout = time.Second
	maxLifetime    = time.Minute
)

// addressesWire is the JSON form of an address answer.
type addressesWire struct {
	Generation uint64        `json:"generation"`
	LifetimeMs int64         `json:"lifetime-ms"`
	NowMs      int64         `json:"now-ms"`
	Addresses  []addressWire `json:"addresses"`
}

type addressWire struct {
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
}

// Addresses returns the cached address answer for the service, or requests a new one from the entries in turn.
func (c *Caller) Addresses(ctx context.Context, service string) (*Addresses, error) {
	c.mu.Lock()
	a := c.cache[service]
	c.mu.Unlock()
	if a != nil && time.Now().Before(a.Expires) {
		return a, nil
	}
	// All waiting calls share the request, so it must not end with the context of one of them.
	shared := c.group.DoChan(service, func() (any, error) {
		return c.requestAddresses(context.WithoutCancel(ctx), service)
	})
	select {
	case r := <-shared:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Addresses), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Caller) requestAddresses(ctx context.Context, service string) (*Addresses, error) {
	err := errors.New("caller: no entries are configured")
	for _, entry := range c.entries(service) {
		var a *Addresses
		if a, err = c.requestAddressesFrom(ctx, entry, service); err == nil {
			c.mu.Lock()
			c.cache[service], c.lastEntry = a, entry
			c.mu.Unlock()
			return a, nil
		}
	}
	return nil, err
}

// entries returns the addresses to try: the one that responded last, the configured ones, and those of the last answer,
// which still work after all configured VMs were replaced.
func (c *Caller) entries(service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.config.Entries)
	if a := c.cache[service]; a != nil {
		for _, x := range a.Addresses {
			if !slices.Contains(all, x.Address) {
				all = append(all, x.Address)
			}
		}
	}
	if i := slices.Index(all, c.lastEntry); i > 0 {
		all = slices.Insert(slices.Delete(all, i, i+1), 0, c.lastEntry)
	}
	return all
}

func (c *Caller) requestAddressesFrom(ctx context.Context, entry, service string) (*Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	requested := time.Now()
	query := url.Values{"service": {service}}
	if c.config.FailureDomain != "" {
		query.Set("failure-domain", c.config.FailureDomain)
	}
	target := url.URL{Scheme: "http", Host: entry, Path: "/v1/addresses", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "caller: entry %s", entry)
	}
	c.authorize(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrapf(err, "caller: ask %s for addresses", entry)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAddressBody))
	if err != nil {
		return nil, errors.Wrapf(err, "caller: read the address answer of %s", entry)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("caller: %s answers status %d to the question for service %s: %.200s",
			entry, resp.StatusCode, service, body)
	}
	return parseAddresses(body, requested)
}

func parseAddresses(body []byte, requested time.Time) (*Addresses, error) {
	var w addressesWire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "caller: address answer")
	}
	lifetime := min(time.Duration(max(0, min(w.LifetimeMs, maxLifetime.Milliseconds())))*time.Millisecond, maxLifetime)
	a := &Addresses{Generation: w.Generation, Asked: requested, Expires: requested.Add(lifetime), Now: time.UnixMilli(w.NowMs)}
	for _, e := range w.Addresses[:min(len(w.Addresses), maxAddresses)] {
		incarnation, err := key.ParseIncarnation(e.Incarnation)
		if err != nil {
			return nil, errors.Wrap(err, "caller: address answer")
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return nil, errors.Wrap(err, "caller: address answer")
		}
		a.Addresses = append(a.Addresses, Address{e.Address, incarnation, e.FailureDomain})
	}
	return a, nil
}

// avoidTTL is how long an address is tried last after a failed connection attempt.
const avoidTTL = time.Second

// order returns the addresses in the order of the answer, but with recently unreachable ones last.
func (c *Caller) order(a *Addresses) []Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	unreachable := func(x Address) int {
		if at, ok := c.failedAt[x.Address]; ok && now.Sub(at) < avoidTTL {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(a.Addresses)
	slices.SortStableFunc(sorted, func(x, y Address) int { return unreachable(x) - unreachable(y) })
	return sorted
}

// avoid records a failed connection attempt to the address and deletes expired records.
func (c *Caller) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, at := range c.failedAt {
		if now.Sub(at) >= avoidTTL {
			delete(c.failedAt, a)
		}
	}
	c.failedAt[address] = now
}

func (c *Caller) authorize(req *http.Request) {
	if c.config.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
}
