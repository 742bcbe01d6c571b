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

// network joins VMs in virtual time with delay, loss, partitions and frozen VMs.
type network struct {
	mu     sync.Mutex
	vms    map[string]*vm // by peer address
	rnd    *rand.Rand
	loss   float64
	cut    func(from, to string) bool // by VM name; nil cuts nothing
	bytes  int
	legs   int
	serial uint64
	list   []member.Listed
}

// vm is one process of the network and the transport of its Gossip.
type vm struct {
	*gossip.Gossip
	net           *network
	name, address string
	down          bool
	thaw          chan struct{} // open while the VM is frozen
}

func newNetwork(seed uint64) *network {
	return &network{vms: make(map[string]*vm), rnd: rand.New(rand.NewPCG(seed, 1))}
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (n *network) add(i int) *vm {
	name := fmt.Sprintf("e%03d", i)
	n.mu.Lock()
	n.serial++
	incarnation := n.rnd.Uint64()
	n.mu.Unlock()
	v := &vm{net: n, name: name, address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1)}
	self := member.Member{
		Name: name, Incarnation: fmt.Sprintf("%016x", incarnation), FailureDomain: fmt.Sprintf("d%d", i%3),
		Address: fmt.Sprintf("127.0.%d.%d:8000", i/250, i%250+1), PeerAddress: v.address,
	}
	o := gossip.DefaultOptions()
	o.Seed = n.serial
	v.Gossip = gossip.New(self, v, o, quiet())
	n.mu.Lock()
	n.vms[v.address] = v
	n.mu.Unlock()
	_ = v.Start(context.Background())
	return v
}

// fleet starts VMs that know each other from one read of the VM list, which is down afterwards.
func fleet(n *network, size int) []*vm {
	vms := make([]*vm, size)
	for i := range vms {
		vms[i] = n.add(i)
		m := vms[i].Live()[0]
		n.list = append(n.list, member.Listed{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain})
	}
	for _, v := range vms {
		v.List(n.list)
	}
	return vms
}

// set changes the loss and what is cut.
func (n *network) set(loss float64, cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.cut = loss, cut
}

// kill takes the VM off the network and ends its duties.
func (v *vm) kill() {
	v.net.mu.Lock()
	v.down = true
	if v.net.vms[v.address] == v {
		delete(v.net.vms, v.address)
	}
	v.net.mu.Unlock()
	_ = v.Stop(context.Background())
}

func (v *vm) freeze() {
	v.net.mu.Lock()
	v.thaw = make(chan struct{})
	v.net.mu.Unlock()
}

func (v *vm) wake() {
	v.net.mu.Lock()
	close(v.thaw)
	v.thaw = nil
	v.net.mu.Unlock()
}

// pause holds the calls of a frozen VM.
func (v *vm) pause() {
	v.net.mu.Lock()
	thaw := v.thaw
	v.net.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

var errLost = errors.New("lost")

// carry delivers one message and its answer. The receiver handles a message even if its sender no longer waits, as
// a frozen VM does when it wakes.
func carry[Q, A proto.Message](ctx context.Context, v *vm, address string, q Q, handle func(*vm, context.Context, Q) (A, error)) (A, error) {
	v.pause()
	q = proto.CloneOf(q)
	answers := make(chan func() (A, error), 1)
	go func() {
		time.Sleep(5 * time.Millisecond)
		to, ok := v.net.leg(v, address, proto.Size(q))
		if !ok {
			return
		}
		to.pause()
		a, err := handle(to, context.WithoutCancel(ctx), q)
		to.pause()
		time.Sleep(5 * time.Millisecond)
		if _, ok := v.net.leg(to, v.address, proto.Size(a)); ok {
			answers <- func() (A, error) { return a, err }
		}
	}()
	defer v.pause()
	select {
	case answer := <-answers:
		return answer()
	case <-ctx.Done():
		var none A
		return none, errLost
	}
}

func (n *network) leg(from *vm, address string, size int) (*vm, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.vms[address]
	n.bytes += size
	n.legs++
	if !ok || from.down || to.down || n.rnd.Float64() < n.loss || (n.cut != nil && n.cut(from.name, to.name)) {
		return nil, false
	}
	return to, true
}

func (v *vm) Ping(ctx context.Context, a string, q *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	return carry(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.PingRequest) (*peerpb.PingResponse, error) {
		return to.Gossip.Ping(ctx, q)
	})
}

func (v *vm) Push(ctx context.Context, a string, q *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	return carry(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.PushRequest) (*peerpb.PushResponse, error) {
		return to.Gossip.Push(ctx, q)
	})
}

func (v *vm) Compare(ctx context.Context, a string, q *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	return carry(ctx, v, a, q, func(to *vm, ctx context.Context, q *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
		return to.Gossip.Compare(ctx, q)
	})
}

// inBubble runs f in virtual time on a fleet that has settled, and stops the fleet afterwards.
func inBubble(t *testing.T, size int, f func(n *network, vms []*vm)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		n := newNetwork(7)
		vms := fleet(n, size)
		time.Sleep(30 * time.Second)
		f(n, vms)
		for _, v := range n.vms {
			if v.thaw != nil {
				v.wake()
			}
		}
		for _, v := range vms {
			v.kill()
		}
		for _, v := range n.vms {
			v.kill()
		}
		time.Sleep(time.Second) // messages on their way arrive
	})
}
