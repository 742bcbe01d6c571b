package platform

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/strictjson"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 4 << 20

type wireFaults struct {
	Outage        bool          `json:"outage"`
	VMListOutage  bool          `json:"vm-list-outage"`
	DelayMS       uint32        `json:"delay-ms"`
	LoseAnswers   bool          `json:"lose-answers"`
	DelayWritesMS uint32        `json:"delay-writes-ms"`
	VMListLagMS   *uint32       `json:"vm-list-lag-ms"`
	RollBack      *wireRollBack `json:"roll-back"`
}

type wireRollBack struct {
	Key       string `json:"key"`
	ToVersion uint64 `json:"to-version"`
}

type wireList struct {
	VMs []wireVM `json:"vms"`
}

type wireVM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address"`
	FailureDomain string `json:"failure-domain"`
	Role          string `json:"role"`
	State         string `json:"state"`
}

// controlFaults replaces all faults. An omitted field turns its fault off, except that the VM list keeps its lag.
func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request) {
	f, err := strictjson.Read[wireFaults](r.Body, maxControlBytes)
	if err == nil && f.RollBack != nil {
		err = p.RollBack(f.RollBack.Key, f.RollBack.ToVersion)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(Faults{
		Outage: f.Outage, VMListOutage: f.VMListOutage, LoseAnswers: f.LoseAnswers,
		Delay:       time.Duration(f.DelayMS) * time.Millisecond,
		DelayWrites: time.Duration(f.DelayWritesMS) * time.Millisecond,
		VMListLag:   p.lag(f.VMListLagMS),
	})
	w.WriteHeader(http.StatusNoContent)
}

// lag returns the lag of the VM list given by a control call in milliseconds, or the current lag if ms is nil.
func (p *Platform) lag(ms *uint32) time.Duration {
	if ms == nil {
		_, f, _ := p.lookup("")
		return f.VMListLag
	}
	return time.Duration(*ms) * time.Millisecond
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	l, err := strictjson.Read[wireList](r.Body, maxControlBytes)
	if err != nil {
		http.Error(w, errors.Wrap(err, "vms").Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(listFromWire(l))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) controlCounts(w http.ResponseWriter, _ *http.Request) {
	c := p.Counts()
	writeJSON(w, http.StatusOK, map[string]any{
		"by-endpoint": c.ByEndpoint, "by-key": c.ByKey, "limited": c.Limited, "total": c.Total(),
	})
}

func listFromWire(l wireList) []vmlist.VM {
	var vms []vmlist.VM
	for _, v := range l.VMs {
		vms = append(vms, vmlist.VM{
			Name: v.Name, Address: v.Address, PeerAddress: v.PeerAddress, FailureDomain: v.FailureDomain,
			Role: vmlist.Role(v.Role), State: vmlist.State(v.State),
		})
	}
	return vms
}

func listToWire(vms []vmlist.VM) wireList {
	l := wireList{VMs: make([]wireVM, 0, len(vms))}
	for _, v := range vms {
		l.VMs = append(l.VMs, wireVM{
			Name: v.Name, Address: v.Address, PeerAddress: v.PeerAddress, FailureDomain: v.FailureDomain,
			Role: string(v.Role), State: string(v.State),
		})
	}
	return l
}
