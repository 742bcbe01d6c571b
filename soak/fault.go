package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarhitch/fulmarhitch/faultproxy"
	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// fault returns a fault's name and the functions that begin and end it. All random numbers are drawn before it returns, so
// that the sequence of faults depends on the seed only.
type fault func(s *Soak, r *rand.Rand) (name string, begin, end func())

var faults = []fault{killGateway, shutDownGateway, suspendGateway, storeLinkFault, upstreamLinkFault, upstreamBehaviour,
	storeFault, dropStoreHistory, changeConfiguration, drainUpstream, restartUpstream,
	upstreamNotice}

// injectFaults begins faults, which may overlap, for the duration and returns when all have ended.
func (s *Soak) injectFaults(duration time.Duration) {
	var running sync.WaitGroup
	for time.Since(s.faultsStart) < duration {
		time.Sleep(minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause))))
		faultDuration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
		name, begin, end := faults[s.random.IntN(len(faults))](s, s.random)
		s.recordEvent(fmt.Sprintf("%s for %s", name, faultDuration.Round(time.Millisecond)))
		running.Go(func() {
			begin()
			time.Sleep(faultDuration)
			end()
		})
	}
	running.Wait()
}

// recordEvent records an event with its time since the start of the faults.
func (s *Soak) recordEvent(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.3f %s", time.Since(s.faultsStart).Seconds(), event))
}

// restart starts the process of a VM whose process has ended and unlocks processFault.
func (s *Soak) restart(v *vm) {
	if err := s.startVM(v); err != nil {
		s.recordEvent(fmt.Sprintf("process of %s did not start: %v", v.name, err))
	}
	v.processFault.Unlock()
}

func killGateway(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " killed", func() {
		v.processFault.Lock()
		v.process.Kill()
		v.process.Stop(time.Second)
	}, func() { s.restart(v) }
}

func shutDownGateway(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " shut down gracefully", func() {
		v.processFault.Lock()
		v.process.Stop(stopTimeout)
	}, func() { s.restart(v) }
}

func suspendGateway(s *Soak, r *rand.Rand) (string, func(), func()) {
	v := s.vms[r.IntN(len(s.vms))]
	return v.name + " suspended by SIGSTOP", func() {
			v.processFault.Lock()
			_ = syscall.Kill(v.process.PID, syscall.SIGSTOP)
		}, func() {
			_ = syscall.Kill(v.process.PID, syscall.SIGCONT)
			v.processFault.Unlock()
		}
}

// linkModes are the faulty modes of links.
var linkModes = []faultproxy.Mode{faultproxy.Slow, faultproxy.Blackhole, faultproxy.BlockToClient, faultproxy.Reset}

func storeLinkFault(s *Soak, r *rand.Rand) (string, func(), func()) {
	v, m := s.vms[r.IntN(len(s.vms))], linkModes[r.IntN(len(linkModes))]
	return fmt.Sprintf("link of %s to the store in mode %d", v.name, m), func() { v.storeProxy.Set(m) }, func() { v.storeProxy.Set(faultproxy.Forwarding) }
}

func upstreamLinkFault(s *Soak, r *rand.Rand) (string, func(), func()) {
	u, m := s.upstreams[r.IntN(len(s.upstreams))], linkModes[r.IntN(len(linkModes))]
	return fmt.Sprintf("link to %s in mode %d", u.ID, m), func() { u.proxy.Set(m) }, func() { u.proxy.Set(faultproxy.Forwarding) }
}

func upstreamBehaviour(s *Soak, r *rand.Rand) (string, func(), func()) {
	behaviours := []standin.Behaviour{
		standin.Shed, standin.Fail, standin.Reset, standin.Truncate, standin.Unframed, standin.StrayBefore, standin.StrayAfter,
		standin.Encode, standin.Unstamped, standin.Garbage, standin.Hang, standin.Misdirected,
		standin.EndlessHead, standin.EndlessBody, standin.EndlessInterim, standin.EndlessTrailers, standin.EndlessIdle,
		standin.EndlessHealth, standin.Drip, standin.DripHead,
		standin.Unavailable, standin.TooMany, standin.TimeOut, standin.DeniedSuccess, standin.DeniedFailure, standin.StampedMisdirected,
		standin.RepeatRefusal,
	}
	u, behaviour := s.upstreams[r.IntN(len(s.upstreams))], behaviours[r.IntN(len(behaviours))]
	return fmt.Sprintf("%s with behaviour %s", u.ID, behaviour),
		func() { u.SetBehaviour(behaviour, serviceTime) }, func() { u.SetBehaviour(standin.Normal, serviceTime) }
}

// upstreamNotice leaves out that an upstream leaves, which holds for as long as it runs.
func upstreamNotice(s *Soak, r *rand.Rand) (string, func(), func()) {
	notices := []string{standin.LimitNotice, standin.PauseNotice, standin.UnreadableNotice}
	u, notice := s.upstreams[r.IntN(len(s.upstreams))], notices[r.IntN(len(notices))]
	return fmt.Sprintf("%s stating %q", u.ID, notice), func() { u.SetNotice(notice) }, func() { u.SetNotice("") }
}

func storeFault(s *Soak, r *rand.Rand) (string, func(), func()) {
	faults := []standin.Faults{{Down: true}, {Hang: true}, {Delay: 300 * time.Millisecond}, {DropResponses: true}, {HideEvents: true}, {Down: true, PauseLeases: true}}
	chosen := faults[r.IntN(len(faults))]
	return fmt.Sprintf("store with %+v", chosen), func() { s.store.SetFaults(chosen) }, func() { s.store.SetFaults(standin.Faults{}) }
}

func dropStoreHistory(s *Soak, _ *rand.Rand) (string, func(), func()) {
	return "history of the store dropped", s.store.Compact, func() {}
}

func changeConfiguration(s *Soak, _ *rand.Rand) (string, func(), func()) {
	return "configuration changed", func() { s.configure("/new/") }, func() {}
}

func restartUpstream(s *Soak, r *rand.Rand) (string, func(), func()) {
	u := s.upstreams[r.IntN(len(s.upstreams))]
	return u.ID + " crashed, later started again under its ID", func() {
			u.processFault.Lock()
			u.Close()
		}, func() {
			defer u.processFault.Unlock()
			if err := u.Start(); err != nil {
				s.recordEvent(fmt.Sprintf("%s did not start: %v", u.ID, err))
				return
			}
			s.store.Put(u.Key(), u.EntryAt(u.proxy.Address(), "ready"))
		}
}

func drainUpstream(s *Soak, r *rand.Rand) (string, func(), func()) {
	u := s.upstreams[r.IntN(len(s.upstreams))]
	putState := func(state string) func() { return func() { s.store.Put(u.Key(), u.EntryAt(u.proxy.Address(), state)) } }
	return u.ID + " draining", putState("draining"), putState("ready")
}
