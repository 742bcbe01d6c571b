package frontend

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/addressing"
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

// addresses responds with the entry VMs that a caller should use.
func (s *Server) addresses(w http.ResponseWriter, req *http.Request) {
	handle(w, req, http.MethodGet, func(req *http.Request) (addressesWire, *apiError) {
		q := req.URL.Query()
		a, err := s.config.Addresses(q.Get("service"), parseCaller(q), time.Now())
		if err != nil {
			status := http.StatusServiceUnavailable
			if errors.Is(err, addressing.ErrNoService) {
				status = http.StatusNotFound
			}
			return addressesWire{}, &apiError{status: status, message: err.Error()}
		}
		wire := encodeAddresses(a)
		if current := s.config.Current(); current != nil {
			wire.Generation = current.Envelope.Generation
		}
		return wire, nil
	})
}

// parseCaller returns the description of the caller in the query; without a token, the caller gets a random one.
func parseCaller(q url.Values) addressing.Caller {
	c := addressing.Caller{FailureDomain: q.Get("failure-domain"), Token: rand.Uint64()}
	if token := q.Get("token"); token != "" {
		c.Token = xxhash.Sum64String(token)
	}
	return c
}

func encodeAddresses(a addressing.Addresses) addressesWire {
	wire := addressesWire{LifetimeMs: a.Lifetime.Milliseconds(), NowMs: a.Now.UnixMilli()}
	for _, address := range a.List {
		wire.Addresses = append(wire.Addresses, addressWire{
			Address: address.Address, Incarnation: address.Incarnation, FailureDomain: address.FailureDomain})
	}
	return wire
}
