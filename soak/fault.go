package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarhitch/fulmarhitch/link"
	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// fault returns a fault's name, what begins it and what ends it. Whatever is random is drawn before it returns, so that the
// series depends on the seed only.
type fault func(s *Soak, r *rand.Rand) (name string, begin, end func())

var faults = []fault{killed, stopped, frozen, storeLink, upstreamLink, behaviour, storeFault, forgotten, configured, draining}

// disturb begins faults one after the other, which overlap, and returns when all have ended.
func (s *Soak) disturb(duration time.Duration) {
	var all sync.WaitGroup
	for time.Since(s.began) < duration {
		time.Sleep(minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause))))
		length := time.Duration(s.random.Int64N(int64(maxFault)))
		name, begin, end := faults[s.random.IntN(len(faults))](s, s.random)
		s.note(fmt.Sprintf("%s for %s", name, length.Round(time.Millisecond)))
		all.Go(func() {
			begin()
			time.Sleep(length)
			end()
		})
	}
	all.Wait()
}

// note records an event with its time.
func (s *Soak) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.3f %s", time.Since(s.began).Seconds(), event))
}

// restart starts the process of a VM whose process has ended.
func (s *Soak) restart(v *vm) {
	if err := s.startVM(v); err != nil {
		s.note(fmt.Sprintf("%s did not start: %v", v.name, err))
	}
	v.busy.Unlock()
}

func killed(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " killed", func() {
		v.busy.Lock()
		v.process.Kill()
		v.process.Stop(time.Second)
	}, func() { s.restart(v) }
}

func stopped(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " stopped as planned", func() {
		v.busy.Lock()
		v.process.Stop(stopTimeout)
	}, func() { s.restart(v) }
}

func frozen(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " frozen", func() {
			v.busy.Lock()
			_ = syscall.Kill(v.process.PID, syscall.SIGSTOP)
		}, func() {
			_ = syscall.Kill(v.process.PID, syscall.SIGCONT)
			v.busy.Unlock()
		}
}

// modes are the faults of links.
var modes = []link.Mode{link.Slow, link.Silent, link.OneWay, link.Reset}

func storeLink(s *Soak, r *rand.Rand) (string, func(), func()) {
	v, m := s.vms[r.IntN(len(s.vms))], modes[r.IntN(len(modes))]
	return fmt.Sprintf("link of %s to the store in mode %d", v.name, m), func() { v.store.Set(m) }, func() { v.store.Set(link.Sound) }
}

func upstreamLink(s *Soak, r *rand.Rand) (string, func(), func()) {
	u, m := s.upstreams[r.IntN(len(s.upstreams))], modes[r.IntN(len(modes))]
	return fmt.Sprintf("link to %s in mode %d", u.ID, m), func() { u.link.Set(m) }, func() { u.link.Set(link.Sound) }
}

func behaviour(s *Soak, r *rand.Rand) (string, func(), func()) {
	all := []standin.Behaviour{
		standin.Shed, standin.Fail, standin.Reset, standin.Truncate, standin.Unframed, standin.Extra, standin.After,
		standin.Encode, standin.Unstamped, standin.Garbage, standin.Hang, standin.Misdirected,
	}
	u, how := s.upstreams[r.IntN(len(s.upstreams))], all[r.IntN(len(all))]
	return fmt.Sprintf("%s behaves as %s", u.ID, how), func() { u.Set(how, work) }, func() { u.Set(standin.Sound, work) }
}

func storeFault(s *Soak, r *rand.Rand) (string, func(), func()) {
	all := []standin.Faults{{Down: true}, {Silent: true}, {Delay: 300 * time.Millisecond}, {LoseAnswers: true}, {Deaf: true}, {Down: true, PauseLeases: true}}
	f := all[r.IntN(len(all))]
	return fmt.Sprintf("store with %+v", f), func() { s.store.SetFaults(f) }, func() { s.store.SetFaults(standin.Faults{}) }
}

func forgotten(s *Soak, _ *rand.Rand) (string, func(), func()) {
	return "history of the store forgotten", s.store.Forget, func() {}
}

func configured(s *Soak, _ *rand.Rand) (string, func(), func()) {
	return "configuration changed", func() { s.configure("/new/") }, func() {}
}

func draining(s *Soak, r *rand.Rand) (string, func(), func()) {
	u := s.upstreams[r.IntN(len(s.upstreams))]
	put := func(state string) func() { return func() { s.store.Put(u.Key(), u.EntryAt(u.link.Address(), state)) } }
	return u.ID + " draining", put("draining"), put("ready")
}
