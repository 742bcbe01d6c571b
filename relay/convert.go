package relay

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
)

func encode(b mirror.Batch, block []byte, fresh, unknown bool, l presence.Listing) *wireBatch {
	w := &wireBatch{
		Entries: block, Whole: b.Whole, Era: b.Era, Revision: b.Revision, AgeMS: b.Age.Milliseconds(), Fresh: fresh, Unknown: unknown,
		List: wireList{Origin: l.Origin, Version: l.Version, Whole: l.Whole, VMs: encodeVMs(l.VMs), Removed: l.Removed},
	}
	if !b.OutageEnd.IsZero() {
		w.OutageMS = max(time.Since(b.OutageEnd).Milliseconds(), 1)
	}
	return w
}

func decode(w *wireBatch, now time.Time) (mirror.Batch, error) {
	b := mirror.Batch{Whole: w.Whole, Era: w.Era, Revision: w.Revision, Age: time.Duration(w.AgeMS) * time.Millisecond}
	if w.OutageMS > 0 {
		b.OutageEnd = now.Add(-time.Duration(w.OutageMS) * time.Millisecond)
	}
	var err error
	b.Entries, err = unpack(w.Entries)
	return b, err
}

func decodeReport(w *wireFollow) presence.Report {
	return presence.Report{Reporter: w.Reporter, Digest: w.Digest, VMs: decodeVMs(w.VMs)}
}

func decodeList(w wireList) presence.Listing {
	return presence.Listing{Origin: w.Origin, Version: w.Version, Whole: w.Whole, VMs: decodeVMs(w.VMs), Removed: w.Removed}
}

func encodeVMs(vms []fleet.VM) []wireVM {
	list := make([]wireVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, wireVM{
			Name: vm.Name, Incarnation: vm.Incarnation, Address: vm.Address, PeerAddress: vm.PeerAddress,
			FailureDomain: vm.FailureDomain, LinkRate: vm.LinkRate, Serving: vm.Serving, CutOff: vm.CutOff, Sequence: vm.Sequence,
		})
	}
	return list
}

func decodeVMs(vms []wireVM) []fleet.VM {
	list := make([]fleet.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, fleet.VM{
			Name: vm.Name, Incarnation: vm.Incarnation, Address: vm.Address, PeerAddress: vm.PeerAddress,
			FailureDomain: vm.FailureDomain, LinkRate: vm.LinkRate, Serving: vm.Serving, CutOff: vm.CutOff, Sequence: vm.Sequence,
		})
	}
	return list
}
