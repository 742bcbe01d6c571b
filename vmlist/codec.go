package vmlist

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/strictjson"
)

type wireList struct {
	VMs *[]wireVM `json:"vms"`
}

type wireVM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address"`
	FailureDomain string `json:"failure-domain"`
	Role          string `json:"role"`
	State         string `json:"state"`
}

func readList(r io.Reader) ([]VM, error) {
	w, err := strictjson.Read[wireList](r, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if w.VMs == nil {
		return nil, errors.New("no field vms")
	}
	names := make(map[string]bool)
	var vms []VM
	var all []finding.Finding
	for i, v := range *w.VMs {
		all = append(all, check(fmt.Sprintf("vms[%d]", i), v, names[v.Name])...)
		names[v.Name] = true
		vms = append(vms, VM{
			Name: v.Name, Address: v.Address, PeerAddress: v.PeerAddress, FailureDomain: v.FailureDomain,
			Role: Role(v.Role), State: State(v.State),
		})
	}
	return vms, finding.Join(all)
}

func check(place string, v wireVM, duplicate bool) []finding.Finding {
	var all []finding.Finding
	report := func(wrong bool, format string, args ...any) {
		if wrong {
			all = append(all, finding.Finding{Place: place, Message: fmt.Sprintf(format, args...)})
		}
	}
	role, state := Role(v.Role), State(v.State)
	report(v.Name == "", "name is empty")
	report(duplicate, "name %q is used twice", v.Name)
	report(v.FailureDomain == "", "failure-domain is empty")
	report(role != Entry && role != Upstream, "role %q is neither entry nor upstream", v.Role)
	report(state != Live && state != Leaving, "state %q is neither live nor leaving", v.State)
	report(!isAddress(v.Address), "address %q is not an IP address with a port", v.Address)
	report((role == Entry || v.PeerAddress != "") && !isAddress(v.PeerAddress),
		"peer-address %q is not an IP address with a port", v.PeerAddress)
	return all
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
