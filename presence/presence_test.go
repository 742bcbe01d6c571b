package presence_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

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
	n.table = presence.New(n.vm, func(vms []fleet.VM) { n.list = vms }, logrus.NewEntry(&logrus.Logger{}))
	return n
}

// follow makes one call of the node to another one, and repeats it if the other one lacks the report.
func (n *node) follow(to *node, omit bool) {
	r := n.table.Report(time.Now())
	if omit {
		r.VMs = nil
	}
	known := to.table.Record(r, time.Now())
	n.table.Apply(to.table.Changes(n.table.Position(), time.Now()), time.Now())
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
		position := root.table.Position()
		changed := root.table.Changed()
		newNode("new").follow(rs[0], false)
		rs[0].follow(root, false)
		time.Sleep(time.Second)
		select {
		case <-changed:
		default:
			t.Error("the change isn't reported")
		}
		if l := root.table.Changes(position, time.Now()); l.Whole || len(l.VMs) != 1 || len(l.Removed) != 0 {
			t.Errorf("%d VMs and %d removals for one change, whole: %t", len(l.VMs), len(l.Removed), l.Whole)
		}
		if l := root.table.Changes(presence.Position{Origin: "another root", Version: position.Version}, time.Now()); !l.Whole || len(l.VMs) != 305 {
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

// namedUntil runs rounds until no table lists the VM or the time has passed, and returns the time that it took.
func namedUntil(name string, limit time.Duration, nodes []*node, round func(n int)) time.Duration {
	start := time.Now()
	for n := 0; time.Since(start) < limit; n++ {
		isNamed := false
		for _, x := range nodes {
			for _, vm := range x.list {
				isNamed = isNamed || vm.Name == name
			}
		}
		if !isNamed {
			break
		}
		round(n)
		for _, x := range nodes {
			x.table.Expire(time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(start)
}

// TestGoneVM guards against a VM that stays in the list for as long as the lead moves, or while VMs follow each other in a cycle or
// get lists from a VM that has fallen behind.
func TestGoneVM(t *testing.T) {
	const bound = 8 * time.Second
	tests := map[string]struct {
		// round makes the calls of half a second among the first VM, which leads at the beginning, and the others.
		round func(n int, nodes []*node)
	}{
		"the lead moves every 2 s": {func(n int, nodes []*node) {
			leader, follower := nodes[n/4%2], nodes[1-n/4%2]
			follower.table.Lead(false, "", time.Now())
			leader.table.Lead(true, fmt.Sprint(n/4), time.Now())
			for _, x := range nodes {
				if x != leader {
					x.follow(leader, true)
				}
			}
		}},
		"followers follow each other": {func(_ int, nodes []*node) {
			nodes[1].follow(nodes[2], true)
			nodes[2].follow(nodes[1], true)
			nodes[1].follow(nodes[0], true)
		}},
		"the leading VM follows one that follows it": {func(_ int, nodes []*node) {
			nodes[1].follow(nodes[0], true)
			nodes[0].follow(nodes[1], true)
			nodes[2].follow(nodes[0], true)
		}},
		"followers ask one that no longer follows": {func(_ int, nodes []*node) {
			nodes[1].follow(nodes[0], true)
			nodes[1].follow(nodes[2], true)
		}},
	}
	for _, how := range []string{"left", "ended"} {
		for name, test := range tests {
			t.Run(name+", VM "+how, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					root, rs, ls := tree(1, 2)
					gone := newNode("gone")
					nodes := []*node{root, rs[0], ls[0]}
					for range 8 {
						for _, x := range []*node{gone, ls[0], ls[1]} {
							x.follow(rs[0], true)
						}
						gone.follow(ls[0], true)
						round(root, rs, nil)
					}
					if how == "left" {
						gone.table.Leave()
						gone.follow(rs[0], true)
					}
					// The last VM has the list from then on only by its own calls.
					all := nodes
					if name == "followers ask one that no longer follows" {
						all = nodes[:2]
					}
					if took := namedUntil("gone", 30*time.Second, all, func(n int) { test.round(n, nodes) }); took > bound {
						t.Errorf("still named after %s", took)
					}
				})
			})
		}
	}
}

// TestEarlierRelease guards against VMs that are lost because a VM of an earlier release, which states no ages, leads the list or
// reports them.
func TestEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, follower, leaf := newNode("root"), newNode("follower"), newNode("leaf")
		root.table.Lead(true, "root-1", time.Now())
		leaf.follow(follower, false)
		report := follower.table.Report(time.Now())
		report.Silences = nil
		for range 20 {
			if !root.table.Record(report, time.Now()) {
				t.Fatal("the report is not known")
			}
			list := root.table.Changes(presence.Position{}, time.Now())
			list.HasAge, list.Age, list.Silences = false, 0, nil
			follower.table.Apply(list, time.Now())
			root.table.Expire(time.Now())
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
		}
		if len(root.list) != 3 || len(follower.list) != 3 {
			t.Errorf("%d and %d VMs listed, want 3", len(root.list), len(follower.list))
		}
		older := root.table.Changes(presence.Position{}, time.Now())
		older.HasAge, older.Origin, older.VMs = false, "another root", older.VMs[:2]
		if follower.table.Apply(older, time.Now()); len(follower.list) != 2 {
			t.Errorf("%d VMs listed after a list without an age, want 2", len(follower.list))
		}
	})
}

// lists reports whether the node lists the VM with the name.
func (n *node) lists(name string) bool {
	for _, vm := range n.list {
		if vm.Name == name {
			return true
		}
	}
	return false
}

// TestKeptVMs guards against a follower that loses live VMs because it turns to a leading VM that hasn't heard of them yet, and
// against VMs that it keeps for too long, also if it begins to lead itself.
func TestKeptVMs(t *testing.T) {
	const bound, leadAt = 3500 * time.Millisecond, 3300 * time.Millisecond
	for name, followed := range map[string]bool{"follows the next VM": true, "leads itself": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				root, next, live, gone, follower := newNode("root"), newNode("next"), newNode("live"), newNode("gone"), newNode("follower")
				root.table.Lead(true, "root-1", time.Now())
				for range 4 {
					for _, x := range []*node{live, gone, follower} {
						x.follow(root, false)
					}
					time.Sleep(500 * time.Millisecond)
					synctest.Wait()
				}
				next.table.Lead(true, "next-1", time.Now())
				ended := time.Now()
				follower.follow(next, false)
				if !follower.lists("live") || !follower.lists("gone") {
					t.Fatalf("only %d VMs are listed after the first call to the next VM", len(follower.list))
				}
				for time.Since(ended) < bound {
					time.Sleep(100 * time.Millisecond)
					live.follow(next, false)
					if followed || time.Since(ended) < 2*time.Second {
						follower.follow(next, false)
					} else if time.Since(ended) > leadAt {
						follower.table.Lead(true, "follower-1", time.Now())
						live.follow(follower, false)
					}
					follower.table.Expire(time.Now())
					if !follower.lists("live") {
						t.Fatalf("a live VM is not listed after %s", time.Since(ended))
					}
				}
				if follower.lists("gone") {
					t.Errorf("a VM that has ended is still listed after %s", time.Since(ended))
				}
			})
		})
	}
}
