package presence_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/presence"
)

// node is a VM with its table and the list that it has last heard of.
type node struct {
	vm    fleet.VM
	table *presence.Table
	list  []fleet.VM
}

func newNode(name string) *node {
	n := &node{vm: fleet.VM{Name: name, Serving: true}}
	n.table = presence.New(n.vm, func(vms []fleet.VM) { n.list = vms })
	return n
}

// follow makes one call of the node to another one, and repeats it if the other one lacks the report.
func (n *node) follow(to *node, omit bool) {
	r := n.table.Report()
	if omit {
		r.VMs = nil
	}
	known := to.table.Record(r, time.Now())
	origin, version := n.table.Position()
	n.table.Apply(to.table.Changes(origin, version))
	if !known {
		n.follow(to, false)
	}
}

// tree returns a root, relays that follow it, and leaves that follow the relays.
func tree(relays, leaves int) (root *node, rs, ls []*node) {
	root = newNode("root")
	root.table.Lead(true, "root-1", time.Now())
	for i := range relays {
		rs = append(rs, newNode(fmt.Sprintf("relay-%d", i)))
	}
	for i := range leaves {
		ls = append(ls, newNode(fmt.Sprintf("leaf-%d", i)))
	}
	return root, rs, ls
}

// round makes all calls of half a second.
func round(root *node, rs, ls []*node) {
	for i, l := range ls {
		l.follow(rs[i%len(rs)], true)
	}
	for _, r := range rs {
		r.follow(root, true)
	}
	for _, n := range append(append([]*node{root}, rs...), ls...) {
		n.table.Expire(time.Now())
	}
	time.Sleep(500 * time.Millisecond)
	synctest.Wait()
}

// TestList guards against VMs that are missing in the list, or stay in it after they have ended or left, and against a list
// that loses VMs because they follow another VM now or the root has changed.
func TestList(t *testing.T) {
	tests := map[string]struct {
		change func(root *node, rs, ls *[]*node) *node
		want   int
	}{
		"nothing happens": {func(root *node, _, _ *[]*node) *node { return root }, 24},
		"a leaf ends": {func(root *node, _, ls *[]*node) *node {
			*ls = (*ls)[1:]
			return root
		}, 23},
		"a leaf leaves": {func(root *node, _, ls *[]*node) *node {
			(*ls)[0].table.Leave()
			return root
		}, 23},
		"a relay ends and its followers follow others": {func(root *node, rs, _ *[]*node) *node {
			*rs = (*rs)[1:]
			return root
		}, 23},
		"the root ends": {func(_ *node, rs, _ *[]*node) *node {
			next := (*rs)[0]
			*rs = (*rs)[1:]
			next.table.Lead(true, "root-2", time.Now())
			return next
		}, 23},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			root, rs, ls := tree(3, 20)
			for range 8 {
				round(root, rs, ls)
			}
			root = test.change(root, &rs, &ls)
			for i := range 12 {
				round(root, rs, ls)
				if n := len(root.list); n < test.want {
					t.Fatalf("%s: %d VMs listed in round %d", name, n, i)
				}
			}
			for _, n := range append(append([]*node{root}, rs...), ls...) {
				if len(n.list) != test.want {
					t.Errorf("%s: %s lists %d VMs, want %d", name, n.vm.Name, len(n.list), test.want)
				}
			}
		})
	}
}

// TestPause guards against a VM that takes all others for ended because it was paused itself.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, rs, ls := tree(3, 20)
		for range 8 {
			round(root, rs, ls)
		}
		time.Sleep(10 * time.Second)
		root.table.Expire(time.Now())
		time.Sleep(time.Second)
		if len(root.list) != 24 {
			t.Errorf("%d VMs listed after the pause", len(root.list))
		}
	})
}

// TestChanges guards against a whole list of hundreds of VMs that is sent for each change, and against followers that wait
// while the list has changed.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, rs, ls := tree(3, 300)
		for range 8 {
			round(root, rs, ls)
		}
		origin, version := root.table.Position()
		changed := root.table.Changed()
		newNode("new").follow(rs[0], false)
		rs[0].follow(root, false)
		time.Sleep(time.Second)
		select {
		case <-changed:
		default:
			t.Error("the change isn't reported")
		}
		if l := root.table.Changes(origin, version); l.Whole || len(l.VMs) != 1 || len(l.Removed) != 0 {
			t.Errorf("%d VMs and %d removals for one change, whole: %t", len(l.VMs), len(l.Removed), l.Whole)
		}
		if l := root.table.Changes("another root", version); !l.Whole || len(l.VMs) != 305 {
			t.Errorf("%d VMs for a follower of another root, whole: %t", len(l.VMs), l.Whole)
		}
	})
}

// TestOldState guards against a VM whose present state is hidden by an older one that another VM, which it followed before, still
// reports.
func TestOldState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, rs, ls := tree(1, 1)
		leaf := ls[0]
		report := func(from, to *node) {
			time.Sleep(100 * time.Millisecond)
			from.follow(to, false)
		}
		leaf.table.SetState(false, false)
		report(leaf, rs[0])
		leaf.table.SetState(true, false)
		report(leaf, root)
		rs[0].table.SetState(true, true)
		report(rs[0], root)
		time.Sleep(time.Second)
		synctest.Wait()
		for _, vm := range root.list {
			if vm.Name == leaf.vm.Name && !vm.Serving {
				t.Errorf("%s is listed with an older state", vm.Name)
			}
		}
		leaf.table.SetState(true, true)
		report(leaf, rs[0])
		report(rs[0], root)
		time.Sleep(time.Second)
		synctest.Wait()
		for _, vm := range root.list {
			if vm.Name == leaf.vm.Name && !vm.CutOff {
				t.Errorf("%s is listed with the state that it reported itself earlier", vm.Name)
			}
		}
	})
}
