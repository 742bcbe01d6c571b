package relay

import (
	"math"
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
)

func encode(b mirror.Batch, block []byte, fresh, unknown bool, l presence.Listing) *wireBatch {
	w := &wireBatch{
		Entries: block, Whole: b.Whole, Era: b.Era, Revision: b.Revision, AgeMS: b.Age.Milliseconds(), Fresh: fresh, Unknown: unknown,
		Reader: b.Reader, List: encodeList(l),
	}
	if !b.OutageEnd.IsZero() {
		w.OutageMS = max(time.Since(b.OutageEnd).Milliseconds(), 1)
	}
	return w
}

func decode(w *wireBatch, now time.Time) (mirror.Batch, error) {
	b := mirror.Batch{Whole: w.Whole, Era: w.Era, Revision: w.Revision, Age: decodeAge(w.AgeMS), Reader: w.Reader}
	if w.OutageMS > 0 {
		b.OutageEnd = now.Add(-decodeAge(w.OutageMS))
	}
	if w.SentAgeMS != nil {
		b.SentAge, b.HasSentAge = decodeSentAge(*w.SentAgeMS), true
	}
	var err error
	b.Entries, err = unpack(w.Entries)
	return b, err
}

// encodeSentAge returns the SentAge of a batch from the log for a follower whose request arrived at the time on the log's clock. It is
// rounded up, so that ages that are summed along the relays never fall short.
func encodeSentAge(b mirror.Batch, arrived time.Duration) *int64 {
	if !b.IsConfirmed {
		return nil
	}
	ms := int64(math.Ceil(float64(arrived-b.Confirmed) / float64(time.Millisecond)))
	return &ms
}

// decodeSentAge returns the age within bounds in which sums don't overflow.
func decodeSentAge(ms int64) time.Duration {
	bound := maxStatedAge.Milliseconds()
	return time.Duration(min(max(ms, -bound), bound)) * time.Millisecond
}

func encodeReport(w *wireFollow, r presence.Report, withVMs bool) {
	w.Reporter, w.Digest = r.Reporter, r.Digest
	if withVMs {
		w.VMs = encodeVMs(r.VMs)
	}
	for _, s := range r.Silences {
		w.SilencesMS = append(w.SilencesMS, s.Milliseconds())
	}
}

func decodeReport(w *wireFollow) presence.Report {
	r := presence.Report{Reporter: w.Reporter, Digest: w.Digest, VMs: decodeVMs(w.VMs)}
	for _, ms := range w.SilencesMS {
		r.Silences = append(r.Silences, decodeAge(ms))
	}
	return r
}

func encodePosition(w *wireFollow, p presence.Position, now time.Time) {
	w.ListOrigin, w.ListVersion = p.Origin, p.Version
	if !p.Confirmed.IsZero() {
		w.ListAgeMS = max(now.Sub(p.Confirmed).Milliseconds(), 1)
	}
}

func decodePosition(w *wireFollow, now time.Time) presence.Position {
	p := presence.Position{Origin: w.ListOrigin, Version: w.ListVersion}
	if w.ListAgeMS > 0 {
		p.Confirmed = now.Add(-decodeAge(w.ListAgeMS))
	}
	return p
}

func encodeList(l presence.Listing) wireList {
	w := wireList{Origin: l.Origin, Version: l.Version, Whole: l.Whole, VMs: encodeVMs(l.VMs), Removed: l.Removed}
	if !l.HasAge {
		return w
	}
	w.AgeMS, w.SilencesMS = max(l.Age.Milliseconds(), 1), make(map[string]int64, len(l.Silences))
	for name, s := range l.Silences {
		w.SilencesMS[name] = s.Milliseconds()
	}
	return w
}

func decodeList(w wireList) presence.Listing {
	l := presence.Listing{
		Origin: w.Origin, Version: w.Version, Whole: w.Whole, VMs: decodeVMs(w.VMs), Removed: w.Removed,
		HasAge: w.AgeMS > 0, Age: decodeAge(w.AgeMS), Silences: make(map[string]time.Duration, len(w.SilencesMS)),
	}
	for name, ms := range w.SilencesMS {
		l.Silences[name] = decodeAge(ms)
	}
	return l
}

// maxStatedAge bounds the ages that other VMs state, so that their sums don't overflow.
const maxStatedAge = 24 * time.Hour

func decodeAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatedAge.Milliseconds())) * time.Millisecond
}

func encodeVMs(vms []fleet.VM) []wireVM {
	list := make([]wireVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, wireVM{
			Name: vm.Name, Incarnation: vm.Incarnation, Address: vm.Address, PeerAddress: vm.PeerAddress,
			FailureDomain: vm.FailureDomain, LinkRate: vm.LinkRate, Serving: vm.Serving, CutOff: vm.CutOff, Sequence: vm.Sequence,
			Organisations: vm.HasOrganisations,
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
			HasOrganisations: vm.Organisations,
		})
	}
	return list
}
