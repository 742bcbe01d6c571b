package gossip_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// network connects VMs in virtual time, with delay, loss, partitions and paused VMs.
type network struct {
	mu      sync.Mutex
	vms     map[string]*vm // by peer address
	rnd     *rand.Rand
	loss    float64                    // probability that a message or answer is lost
	blocked func(from, to string) bool // reports, by VM names, whether all messages are lost; nil blocks none
	// cost is the time of the processor that all VMs share for each message and answer, and busyUntil the end of the work that
	// it has taken on.
	cost      time.Duration
	busyUntil time.Time
	bytes     int
	messages  int // with answers
	lastSeed  uint64
	list      []member.Listed
}

// vm is one process of the network and the transport of its Gossip.
type vm struct {
	*gossip.Gossip
	net           *network
	name, address string
	down          bool
	resumed       chan struct{} // closed by resume; nil unless the VM is paused
}

func newNetwork(seed uint64) *network {
	return &network{vms: make(map[string]*vm), rnd: rand.New(rand.NewPCG(seed, 1))}
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// add starts the VM with the index.
func (n *network) add(i int) *vm {
	name := fmt.Sprintf("e%03d", i)
	n.mu.Lock()
	n.lastSeed++
	incarnation := n.rnd.Uint64()
	n.mu.Unlock()
	v := &vm{net: n, name: name, address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1)}
	self := member.Member{
		Name: name, Incarnation: fmt.Sprintf("%016x", incarnation), FailureDomain: fmt.Sprintf("d%d", i%3),
		Address: fmt.Sprintf("127.0.%d.%d:8000", i/250, i%250+1), PeerAddress: v.address,
	}
	o := gossip.DefaultOptions()
	o.Seed = n.lastSeed
	v.Gossip = gossip.New(self, v, o, discardLogger())
	n.mu.Lock()
	n.vms[v.address] = v
	n.mu.Unlock()
	_ = v.Start(context.Background())
	return v
}

// fleet starts VMs that know each other from one read of the VM list, which is not available afterwards.
func fleet(n *network, size int) []*vm {
	vms := make([]*vm, size)
	for i := range vms {
		vms[i] = n.add(i)
		m := vms[i].Live()[0]
		n.list = append(n.list, member.Listed{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain})
	}
	for _, v := range vms {
		v.ApplyList(n.list)
	}
	return vms
}

// setFaults sets the probability of loss and the blocked connections.
func (n *network) setFaults(loss float64, blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.blocked = loss, blocked
}

// kill removes the VM from the network and stops its workers.
func (v *vm) kill() {
	v.net.mu.Lock()
	v.down = true
	if v.net.vms[v.address] == v {
		delete(v.net.vms, v.address)
	}
	v.net.mu.Unlock()
	_ = v.Stop(context.Background())
}

// pause delays all messages to and from the VM until resume.
func (v *vm) pause() {
	v.net.mu.Lock()
	v.resumed = make(chan struct{})
	v.net.mu.Unlock()
}

func (v *vm) resume() {
	v.net.mu.Lock()
	close(v.resumed)
	v.resumed = nil
	v.net.mu.Unlock()
}

// waitWhilePaused blocks while the VM is paused.
func (v *vm) waitWhilePaused() {
	v.net.mu.Lock()
	resumed := v.resumed
	v.net.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

var errLost = errors.New("lost")

// deliver delivers one message and its answer. The receiver handles a message even if the sender no longer waits, as a
// paused VM does when it resumes.
func deliver[Q, A proto.Message](ctx context.Context, v *vm, address string, q Q, handle func(*vm, context.Context, Q) (A, error)) (A, error) {
	v.waitWhilePaused()
	q = proto.CloneOf(q)
	answers := make(chan func() (A, error), 1)
	go func() {
		time.Sleep(5 * time.Millisecond)
		to, ok := v.net.transmit(v, address, proto.Size(q))
		if !ok {
			return
		}
		if !v.net.process() {
			return
		}
		to.waitWhilePaused()
		a, err := handle(to, context.WithoutCancel(ctx), q)
		to.waitWhilePaused()
		time.Sleep(5 * time.Millisecond)
		if _, ok := v.net.transmit(to, v.address, proto.Size(a)); ok && v.net.process() {
			answers <- func() (A, error) { return a, err }
		}
	}()
	defer v.waitWhilePaused()
	select {
	case answer := <-answers:
		return answer()
	case <-ctx.Done():
		var none A
		return none, errLost
	}
}

// maxBacklog bounds the work that waits for the shared processor; messages beyond it are lost.
const maxBacklog = 2 * time.Second

// process waits for the shared processor and for its work on one message, and reports whether the message was not lost.
func (n *network) process() bool {
	n.mu.Lock()
	now := time.Now()
	if n.busyUntil.Before(now) {
		n.busyUntil = now
	}
	wait := n.busyUntil.Add(n.cost).Sub(now)
	if wait > maxBacklog {
		n.mu.Unlock()
		return false
	}
	n.busyUntil = now.Add(wait)
	n.mu.Unlock()
	time.Sleep(wait)
	return true
}

// setCost sets the time of the shared processor for each message.
func (n *network) setCost(cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cost = cost
}

// transmit counts a message and reports whether it reaches the VM with the address, which it returns.
func (n *network) transmit(from *vm, address string, size int) (*vm, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.vms[address]
	n.bytes += size
	n.messages++
	if !ok || from.down || to.down || n.rnd.Float64() < n.loss || (n.blocked != nil && n.blocked(from.name, to.name)) {
		return nil, false
	}
	return to, true
}

func (v *vm) Ping(ctx context.Context, a string, q *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	return deliver(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.PingRequest) (*peerpb.PingResponse, error) {
		return to.Gossip.Ping(ctx, q)
	})
}

func (v *vm) Push(ctx context.Context, a string, q *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	return deliver(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.PushRequest) (*peerpb.PushResponse, error) {
		return to.Gossip.Push(ctx, q)
	})
}

func (v *vm) Compare(ctx context.Context, a string, q *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	return deliver(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
		return to.Gossip.Compare(ctx, q)
	})
}

// inBubble runs f in a synctest bubble on a fleet that has settled, and stops the fleet afterwards.
func inBubble(t *testing.T, size int, f func(n *network, vms []*vm)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		n := newNetwork(7)
		vms := fleet(n, size)
		time.Sleep(30 * time.Second)
		f(n, vms)
		for _, v := range n.vms {
			if v.resumed != nil {
				v.resume()
			}
		}
		for _, v := range vms {
			v.kill()
		}
		for _, v := range n.vms {
			v.kill()
		}
		time.Sleep(time.Second) // messages in transit arrive
	})
}
