package allotment

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearFraction is the fraction of the limit of polls of an upstream that the VMs of its failure domain use, and
	// farFraction that of the others. The rest is a reserve, because VMs disagree about the fleet for a while after it
	// changes.
	nearFraction = 0.5
	farFraction  = 0.3
	// fraction is the fraction of the other limits that is used.
	fraction = 0.8
	// epoch is the time for which a VM keeps its rounded share of the retries.
	epoch = 10 * time.Second
	// minConnections is the minimum number of connections to an upstream; requests and polls each need one.
	minConnections = 4
)

// Fleet is the fleet as one VM knows it.
type Fleet struct {
	// VM is the name of the VM.
	VM string
	// VMs is the number of VMs, and LocalVMs the number of those in the VM's own failure domain; both include the VM.
	VMs, LocalVMs int
}

// Polls returns the number of polls per second that the VM may send to an upstream, for which the fleet may send the limit.
// Of the upstreams of the service in its own failure domain, each VM uses a subset of the given size, so that an upstream is
// shared by few VMs if there are many upstreams.
func (f Fleet) Polls(limit float64, isNear bool, nearUpstreams, subset int) float64 {
	if !isNear {
		return farFraction * limit / float64(max(f.VMs-f.LocalVMs, 1))
	}
	sharers := float64(max(f.LocalVMs, 1))
	if nearUpstreams > subset {
		sharers = max(sharers*float64(subset)/float64(nearUpstreams), 1)
	}
	return nearFraction * limit / sharers
}

// Burst returns the number of retries that the VM may save up, for which the fleet may save up the limit. Only whole retries
// can be spent, so the share is rounded up at some VMs and down at the others. Which ones changes over time.
func (f Fleet) Burst(limit float64, now time.Time) float64 {
	share := fraction * limit / float64(max(f.VMs, 1))
	whole, part := math.Modf(share)
	period := uint64(now.Unix()) / uint64(epoch/time.Second)
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(f.VM), period))
	if float64(hash>>11)/(1<<53) < part {
		whole++
	}
	return whole
}

// Connections returns the number of connections that the VM may have to an upstream that accepts the limit.
func (f Fleet) Connections(limit int) int {
	return max(int(fraction*float64(limit)/float64(max(f.VMs, 1))), minConnections)
}
