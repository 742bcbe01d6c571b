package frontend

import "net/http"

// Status describes an entry VM.
type Status struct {
	Name, Incarnation, FailureDomain string
	Generation                       uint64
	Ready, Isolated, Leaving         bool
	// StoreAgeMs is the time since the last contact with the store in ms, or -1 if there was none.
	StoreAgeMs int64
	Members    []MemberStatus
	Groups     []GroupStatus
	// LedgerKeys is the number of request keys that the ledger holds.
	LedgerKeys int
	// Running is the number of calls in progress.
	Running int64
}

// MemberStatus describes a member of the fleet as this entry VM sees it.
type MemberStatus struct {
	Name, Address, FailureDomain, State string
	Generation                          uint64
}

// GroupStatus describes a group whose home is this entry VM.
type GroupStatus struct {
	Group         string
	Free, Waiting int
}

type statusWire struct {
	Name          string             `json:"name"`
	Incarnation   string             `json:"incarnation"`
	FailureDomain string             `json:"failure-domain"`
	Generation    uint64             `json:"generation"`
	Ready         bool               `json:"ready"`
	Isolated      bool               `json:"isolated"`
	Leaving       bool               `json:"leaving"`
	StoreAgeMs    int64              `json:"store-age-ms"`
	LedgerKeys    int                `json:"ledger-keys"`
	Running       int64              `json:"running"`
	Members       []memberStatusWire `json:"members"`
	Groups        []groupStatusWire  `json:"groups"`
}

type memberStatusWire struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Generation    uint64 `json:"generation"`
}

type groupStatusWire struct {
	Group   string `json:"group"`
	Free    int    `json:"free"`
	Waiting int    `json:"waiting"`
}

func (s *Server) status(w http.ResponseWriter, req *http.Request) {
	handle(w, req, http.MethodGet, func(*http.Request) (statusWire, *apiError) {
		return encodeStatus(s.config.Status(), s.Running()), nil
	})
}

func encodeStatus(st Status, running int64) statusWire {
	wire := statusWire{Name: st.Name, Incarnation: st.Incarnation, FailureDomain: st.FailureDomain,
		Generation: st.Generation, Ready: st.Ready, Isolated: st.Isolated, Leaving: st.Leaving, StoreAgeMs: st.StoreAgeMs,
		LedgerKeys: st.LedgerKeys, Running: running}
	for _, m := range st.Members {
		wire.Members = append(wire.Members, memberStatusWire(m))
	}
	for _, g := range st.Groups {
		wire.Groups = append(wire.Groups, groupStatusWire(g))
	}
	return wire
}
