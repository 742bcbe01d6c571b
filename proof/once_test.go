package proof

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	late  = `{"late-ms":1200}`
	body  = "register Rosa Alba"
	other = "register Rosa Gallica"
)

// TestActRunsAtMostOnce guards against a second run of a non-idempotent request, and against contradicting outcomes,
// when its key is repeated through other entry VMs while its own is frozen, killed, replaced or wrongly listed.
func TestActRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		shape shape
		run   func(f *fleet)
	}{
		"entry VM frozen while its call runs":      {shape{1, 3, 2, 3, true, false}, frozenWhileRunning},
		"entry VM frozen with its call in queue":   {shape{1, 3, 1, 1, true, false}, frozenInQueue},
		"entry VM killed while its call runs":      {shape{1, 3, 2, 3, true, false}, killedWhileRunning},
		"entry VM replaced at the same address":    {shape{1, 3, 2, 3, true, false}, replaced},
		"entry VM replaced and the VM list lags":   {shape{1, 3, 2, 3, true, false}, replacedUnlisted},
		"VM list names a dead VM":                  {shape{1, 3, 2, 3, false, false}, deadListed},
		"one key at all VMs at once":               {shape{1, 3, 2, 3, false, false}, keyEverywhere},
		"key reused with another body":             {shape{1, 3, 2, 3, false, false}, keyReused},
		"caller goes away and repeats through all": {shape{2, 4, 4, 3, false, false}, callerGone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.shape)
			Convey(name, t, func() { c.run(f) })
		})
	}
}

func frozenWhileRunning(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, late)
	}
	v, k := f.vms[0], keyOf(f.vms[0])
	first := background(v, act, k, body, 15*time.Second)
	f.until("the call runs", func() bool { return f.runs(body) == 1 })
	f.signal(v.process, syscall.SIGSTOP)
	during := send(f.vms[1], act, k, body, time.Second)
	f.signal(v.process, syscall.SIGCONT)
	So(during.outcome, ShouldEqual, "unknown")
	var after told
	f.until("the repeat is answered after the VM wakes", func() bool {
		after = send(f.vms[2], act, k, body, 2*time.Second)
		return after.outcome == "answered"
	})
	So(broken(act, body, f.runs(body), during, after, <-first), ShouldBeEmpty)
}

func frozenInQueue(f *fleet) {
	f.faults(f.upstreams[0], late)
	v := f.home()
	blocker := background(v, act, keyOf(v), other, 15*time.Second)
	f.until("the only slot is taken", func() bool { return f.runs(other) == 1 })
	k := keyOf(v)
	first := background(v, act, k, body, 800*time.Millisecond)
	f.until("the call is accepted", func() bool {
		s, _ := f.status(v)
		return s.Running >= 2
	})
	f.signal(v.process, syscall.SIGSTOP)
	// The freeze outlasts the deadline of the waiting call and the run of the other.
	time.Sleep(1500 * time.Millisecond)
	f.signal(v.process, syscall.SIGCONT)
	var after told
	f.until("a VM knows what became of the call", func() bool {
		after = send(f.others(v)[0], act, k, body, 2*time.Second)
		return after.reason != "home-gone" && after.outcome != "lost"
	})
	So((<-blocker).outcome, ShouldNotEqual, "not-run")
	So(broken(act, body, f.runs(body), after, <-first), ShouldBeEmpty)
	So(f.runs(body), ShouldEqual, 0)
	So(f.runs(other), ShouldEqual, 1)
}

func killedWhileRunning(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, late)
	}
	v, k := f.vms[0], keyOf(f.vms[0])
	first := background(v, act, k, body, 10*time.Second)
	f.until("the call runs", func() bool { return f.runs(body) == 1 })
	f.kill(v.process)
	all := []told{<-first}
	for _, o := range f.others(v) {
		all = append(all, send(o, act, k, body, time.Second))
		So(all[len(all)-1].outcome, ShouldEqual, "unknown")
	}
	So(broken(act, body, f.runs(body), all...), ShouldBeEmpty)
}

func replaced(f *fleet) { replace(f, false) }

func replacedUnlisted(f *fleet) {
	f.platform.SetFaults(platform.Faults{VMListLag: time.Hour})
	replace(f, true)
}

// replace kills a VM, starts a new process of its name and repeats the old process's keys at all VMs.
func replace(f *fleet, moved bool) {
	v := f.vms[0]
	used, unused := keyOf(v), keyOf(v)
	all := []told{send(v, act, used, body, 5*time.Second)}
	So(all[0].outcome, ShouldEqual, "answered")
	f.kill(v.process)
	if moved {
		v.address = ""
	}
	start := f.prepare(v)
	f.publish()
	if !moved {
		// Without the platform the new process has no configuration in force for a while.
		f.platform.SetFaults(platform.Faults{Outage: true, VMListOutage: true})
	}
	start()
	// Until the others hear of the new process, they send the old one's keys to its address.
	f.until("the new process listens", func() bool {
		for _, o := range f.others(v) {
			So(send(o, act, used, body, 5*time.Second).outcome, ShouldEqual, "unknown")
			So(send(o, act, unused, other, 5*time.Second).outcome, ShouldEqual, "unknown")
		}
		return listens(v.address)
	})
	for range 10 {
		for _, o := range f.others(v) {
			So(send(o, act, used, body, 5*time.Second).outcome, ShouldEqual, "unknown")
		}
	}
	if !moved {
		f.platform.SetFaults(platform.Faults{})
	}
	f.joined()
	for _, o := range f.vms {
		again := send(o, act, used, body, 5*time.Second)
		So(again.outcome, ShouldEqual, "unknown")
		So(send(o, act, unused, other, 5*time.Second).outcome, ShouldEqual, "unknown")
		all = append(all, again)
	}
	So(f.runs(other), ShouldEqual, 0)
	So(broken(act, body, f.runs(body), all...), ShouldBeEmpty)
	So(send(v, act, keyOf(v), other, 5*time.Second).outcome, ShouldEqual, "answered")
}

func deadListed(f *fleet) {
	f.publish(vmlist.VM{Name: "e9", Address: f.freeAddress(), PeerAddress: f.freeAddress(), FailureDomain: "fd-0",
		Role: vmlist.Entry, State: vmlist.Live})
	gone := key.New(0xdead, time.Now().Add(key.Lifetime)).String()
	for range 20 {
		for _, v := range f.vms {
			So(send(v, act, gone, body, time.Second).outcome, ShouldEqual, "unknown")
		}
		time.Sleep(20 * time.Millisecond)
	}
	So(f.runs(body), ShouldEqual, 0)
	for _, v := range f.vms {
		text := other + v.name
		k := keyOf(v)
		first, again := send(v, act, k, text, 5*time.Second), send(f.vms[0], act, k, text, 5*time.Second)
		So([]string{first.outcome, again.outcome}, ShouldResemble, []string{"answered", "answered"})
		So(broken(act, text, f.runs(text), first, again), ShouldBeEmpty)
	}
}

func keyEverywhere(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, `{"late-ms":200}`)
	}
	k := keyOf(f.vms[0])
	var calls []<-chan told
	for i := range 12 {
		calls = append(calls, background(f.vms[i%3], act, k, body, 10*time.Second))
	}
	var all []told
	for _, c := range calls {
		all = append(all, <-c)
		So(all[len(all)-1].outcome, ShouldEqual, "answered")
	}
	So(broken(act, body, f.runs(body), all...), ShouldBeEmpty)
}

func keyReused(f *fleet) {
	k := keyOf(f.vms[0])
	first := send(f.vms[0], act, k, body, 5*time.Second)
	So(first.outcome, ShouldEqual, "answered")
	for _, v := range f.vms {
		second := send(v, act, k, other, 5*time.Second)
		So(second.outcome, ShouldEqual, "not-run")
		So(second.reason, ShouldEqual, "key-reused")
	}
	So(f.runs(other), ShouldEqual, 0)
	So(broken(act, body, f.runs(body), first), ShouldBeEmpty)
}

func callerGone(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, `{"late-ms":300}`)
	}
	for i, v := range f.vms {
		text, k := body+v.name, keyOf(v)
		leave(v, act, k, text, 50*time.Millisecond)
		again := send(f.vms[(i+1)%4], act, k, text, 10*time.Second)
		So(again.outcome, ShouldEqual, "answered")
		So(broken(act, text, f.runs(text), again), ShouldBeEmpty)
	}
}
