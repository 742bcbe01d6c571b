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
	lateAnswers = `{"late-ms":1200}`
	body        = "register Rosa Alba"
	otherBody   = "register Rosa Gallica"
)

// TestActRunsAtMostOnce guards against a second run of a non-idempotent request, and against contradictory outcomes, when
// its key is repeated through other entry VMs while the VM of the key is frozen, killed, replaced or incorrectly listed.
func TestActRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		config fleetConfig
		run    func(f *fleet)
	}{
		"entry VM frozen while its call runs":      {fleetConfig{1, 3, 2, 3, true, false}, frozenWhileRunning},
		"entry VM frozen with its call in queue":   {fleetConfig{1, 3, 1, 1, true, false}, frozenInQueue},
		"entry VM killed while its call runs":      {fleetConfig{1, 3, 2, 3, true, false}, killedWhileRunning},
		"entry VM replaced at the same address":    {fleetConfig{1, 3, 2, 3, true, false}, replaced},
		"entry VM replaced and the VM list lags":   {fleetConfig{1, 3, 2, 3, true, false}, replacedUnlisted},
		"VM list names a dead VM":                  {fleetConfig{1, 3, 2, 3, false, false}, deadVMListed},
		"one key at all VMs at once":               {fleetConfig{1, 3, 2, 3, false, false}, keyAtAllVMs},
		"key reused with another body":             {fleetConfig{1, 3, 2, 3, false, false}, keyReused},
		"caller goes away and repeats through all": {fleetConfig{2, 4, 4, 3, false, false}, callerDisconnects},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.config)
			Convey(name, t, func() { c.run(f) })
		})
	}
}

func frozenWhileRunning(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, lateAnswers)
	}
	v, k := f.vms[0], newKey(f.vms[0])
	first := sendInBackground(v, registration, k, body, 15*time.Second)
	f.waitUntil("the call runs", func() bool { return f.runs(body) == 1 })
	f.signal(v.process, syscall.SIGSTOP)
	during := send(f.vms[1], registration, k, body, time.Second)
	f.signal(v.process, syscall.SIGCONT)
	So(during.outcome, ShouldEqual, "unknown")
	var after result
	f.waitUntil("the repeated call is answered after the VM resumes", func() bool {
		after = send(f.vms[2], registration, k, body, 2*time.Second)
		return after.outcome == "answered"
	})
	So(violation(registration, body, f.runs(body), during, after, <-first), ShouldBeEmpty)
}

func frozenInQueue(f *fleet) {
	f.setFaults(f.upstreams[0], lateAnswers)
	v := f.home()
	blocker := sendInBackground(v, registration, newKey(v), otherBody, 15*time.Second)
	f.waitUntil("the only slot is taken", func() bool { return f.runs(otherBody) == 1 })
	k := newKey(v)
	first := sendInBackground(v, registration, k, body, 800*time.Millisecond)
	f.waitUntil("the call is accepted", func() bool {
		s, _ := f.status(v)
		return s.Running >= 2
	})
	f.signal(v.process, syscall.SIGSTOP)
	// The freeze is longer than the deadline of the queued call and the run of the other call.
	time.Sleep(1500 * time.Millisecond)
	f.signal(v.process, syscall.SIGCONT)
	var after result
	f.waitUntil("a VM reports the outcome of the call", func() bool {
		after = send(f.others(v)[0], registration, k, body, 2*time.Second)
		return after.reason != "home-gone" && after.outcome != "lost"
	})
	So((<-blocker).outcome, ShouldNotEqual, "not-run")
	So(violation(registration, body, f.runs(body), after, <-first), ShouldBeEmpty)
	So(f.runs(body), ShouldEqual, 0)
	So(f.runs(otherBody), ShouldEqual, 1)
}

func killedWhileRunning(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, lateAnswers)
	}
	v, k := f.vms[0], newKey(f.vms[0])
	first := sendInBackground(v, registration, k, body, 10*time.Second)
	f.waitUntil("the call runs", func() bool { return f.runs(body) == 1 })
	f.kill(v.process)
	all := []result{<-first}
	for _, o := range f.others(v) {
		all = append(all, send(o, registration, k, body, time.Second))
		So(all[len(all)-1].outcome, ShouldEqual, "unknown")
	}
	So(violation(registration, body, f.runs(body), all...), ShouldBeEmpty)
}

func replaced(f *fleet) { replaceVM(f, false) }

func replacedUnlisted(f *fleet) {
	f.platform.SetFaults(platform.Faults{VMListLag: time.Hour})
	replaceVM(f, true)
}

// replaceVM kills a VM, starts a new process with the same name, and repeats keys of the old process at all VMs. If moved
// is true, the new process has other addresses.
func replaceVM(f *fleet, moved bool) {
	v := f.vms[0]
	used, unused := newKey(v), newKey(v)
	all := []result{send(v, registration, used, body, 5*time.Second)}
	So(all[0].outcome, ShouldEqual, "answered")
	f.kill(v.process)
	if moved {
		v.address = ""
	}
	start := f.prepare(v)
	f.publishVMs()
	if !moved {
		// Without the platform the new process has no configuration in force for a while.
		f.platform.SetFaults(platform.Faults{Outage: true, VMListOutage: true})
	}
	start()
	// The other VMs send the old process's keys to its address until they learn of the new process.
	f.waitUntil("the new process listens", func() bool {
		for _, o := range f.others(v) {
			So(send(o, registration, used, body, 5*time.Second).outcome, ShouldEqual, "unknown")
			So(send(o, registration, unused, otherBody, 5*time.Second).outcome, ShouldEqual, "unknown")
		}
		return listens(v.address)
	})
	for range 10 {
		for _, o := range f.others(v) {
			So(send(o, registration, used, body, 5*time.Second).outcome, ShouldEqual, "unknown")
		}
	}
	if !moved {
		f.platform.SetFaults(platform.Faults{})
	}
	f.waitJoined()
	for _, o := range f.vms {
		again := send(o, registration, used, body, 5*time.Second)
		So(again.outcome, ShouldEqual, "unknown")
		So(send(o, registration, unused, otherBody, 5*time.Second).outcome, ShouldEqual, "unknown")
		all = append(all, again)
	}
	So(f.runs(otherBody), ShouldEqual, 0)
	So(violation(registration, body, f.runs(body), all...), ShouldBeEmpty)
	So(send(v, registration, newKey(v), otherBody, 5*time.Second).outcome, ShouldEqual, "answered")
}

func deadVMListed(f *fleet) {
	f.publishVMs(vmlist.VM{Name: "e9", Address: f.freeAddress(), PeerAddress: f.freeAddress(), FailureDomain: "fd-0",
		Role: vmlist.Entry, State: vmlist.Live})
	// No VM has this incarnation.
	unknownKey := key.New(0xdead, time.Now().Add(key.Lifetime)).String()
	for range 20 {
		for _, v := range f.vms {
			So(send(v, registration, unknownKey, body, time.Second).outcome, ShouldEqual, "unknown")
		}
		time.Sleep(20 * time.Millisecond)
	}
	So(f.runs(body), ShouldEqual, 0)
	for _, v := range f.vms {
		text := otherBody + v.name
		k := newKey(v)
		first, again := send(v, registration, k, text, 5*time.Second), send(f.vms[0], registration, k, text, 5*time.Second)
		So([]string{first.outcome, again.outcome}, ShouldResemble, []string{"answered", "answered"})
		So(violation(registration, text, f.runs(text), first, again), ShouldBeEmpty)
	}
}

func keyAtAllVMs(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, `{"late-ms":200}`)
	}
	k := newKey(f.vms[0])
	var calls []<-chan result
	for i := range 12 {
		calls = append(calls, sendInBackground(f.vms[i%3], registration, k, body, 10*time.Second))
	}
	var all []result
	for _, c := range calls {
		all = append(all, <-c)
		So(all[len(all)-1].outcome, ShouldEqual, "answered")
	}
	So(violation(registration, body, f.runs(body), all...), ShouldBeEmpty)
}

func keyReused(f *fleet) {
	k := newKey(f.vms[0])
	first := send(f.vms[0], registration, k, body, 5*time.Second)
	So(first.outcome, ShouldEqual, "answered")
	for _, v := range f.vms {
		second := send(v, registration, k, otherBody, 5*time.Second)
		So(second.outcome, ShouldEqual, "not-run")
		So(second.reason, ShouldEqual, "key-reused")
	}
	So(f.runs(otherBody), ShouldEqual, 0)
	So(violation(registration, body, f.runs(body), first), ShouldBeEmpty)
}

func callerDisconnects(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, `{"late-ms":300}`)
	}
	for i, v := range f.vms {
		text, k := body+v.name, newKey(v)
		sendAndDisconnect(v, registration, k, text, 50*time.Millisecond)
		again := send(f.vms[(i+1)%4], registration, k, text, 10*time.Second)
		So(again.outcome, ShouldEqual, "answered")
		So(violation(registration, text, f.runs(text), again), ShouldBeEmpty)
	}
}
