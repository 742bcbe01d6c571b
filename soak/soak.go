package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/link"
	"github.com/fulmarhitch/fulmarhitch/platform/standin"
	"github.com/fulmarhitch/fulmarhitch/standin/placement"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

const (
	gateways         = 4
	upstreamsPerKind = 4
	// work is the time of a request at an upstream.
	work = 15 * time.Millisecond
	// callPause is the time between two calls of one kind.
	callPause = 8 * time.Millisecond
	// startTime is the time in which the gateways register themselves.
	startTime = 2 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// minPause and maxPause bound the pause between the starts of two faults, and maxFault the length of a fault.
	minPause = 100 * time.Millisecond
	maxPause = 700 * time.Millisecond
	maxFault = 3 * time.Second
	// recovery is the time after the last fault in which all has to be well again.
	recovery = 6 * time.Second
	// inForce is the time in which a configuration has to be in force then.
	inForce = 2 * time.Second
	// calmCalls is the number of calls to each gateway that must succeed after the recovery.
	calmCalls = 20
)

// Soak is one run.
type Soak struct {
	bin, logs string
	random    *rand.Rand
	store     *standin.Store
	address   string
	vms       []*vm
	upstreams []*upstream
	caller    *standin.Caller
	record    record

	mu      sync.Mutex
	version int
	events  []string
	began   time.Time
}

// vm is one gateway with its own link to the store.
type vm struct {
	placement.Placement
	// busy is held while a fault of the process lasts.
	busy    sync.Mutex
	name    string
	store   *link.Link
	process *program.Program
	starts  int
}

// upstream is a stand-in behind a link of its own.
type upstream struct {
	*standin.Upstream
	link *link.Link
}

// New returns a run with the programs of the folder bin, whose faults follow from the seed. Logs go to the folder logs.
func New(bin, logs string, seed uint64) *Soak {
	return &Soak{bin: bin, logs: logs, random: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), version: 1}
}

// Run starts the processes, injects faults for the duration and returns the broken promises, or an error if the run itself
// could not be made.
func (s *Soak) Run(duration time.Duration) (broken []string, err error) {
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	s.began = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() { s.traffic(ctx) })
	s.disturb(duration)
	time.Sleep(recovery)
	cancel()
	calls.Wait()
	return append(s.record.broken(s.runs()), s.calm()...), nil
}

// Events returns the faults in their order, for the report of a run that failed.
func (s *Soak) Events() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// Served returns the numbers of attempts and of those that were answered with success.
func (s *Soak) Served() (attempts, served int) { return s.record.served() }

func (s *Soak) start() error {
	var err error
	if s.address, err = s.store.Listen(); err != nil {
		return err
	}
	s.store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for _, service := range []string{"read", "write"} {
		for i := range upstreamsPerKind {
			if err := s.startUpstream(fmt.Sprintf("i-%s-%d", service, i), service); err != nil {
				return err
			}
		}
	}
	var directories []string
	for i := range gateways {
		v, err := s.newVM(fmt.Sprintf("vm-%d", i))
		if err == nil {
			err = s.startVM(v)
		}
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		directories = append(directories, v.DirectoryAddress)
	}
	s.caller = standin.NewCaller(directories)
	return nil
}

func (s *Soak) startUpstream(id, service string) error {
	u, err := standin.NewUpstream(id, service, "zone-a")
	if err != nil {
		return errors.Wrap(err, "soak: upstream")
	}
	u.Set(standin.Sound, work)
	k, err := link.New(u.Address())
	if err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, &upstream{u, k})
	s.store.Put(u.Key(), u.EntryAt(k.Address(), "ready"))
	return nil
}

// newVM writes the settings of a gateway.
func (s *Soak) newVM(name string) (*vm, error) {
	k, err := link.New(s.address)
	if err != nil {
		return nil, err
	}
	at, err := placement.New(s.logs, name, k.Address(), fmt.Sprintf("stop-timeout = %q\n", stopTimeout))
	return &vm{Placement: at, name: name, store: k}, err
}

// startVM starts the VM's process.
func (s *Soak) startVM(v *vm) error {
	v.starts++
	p, err := program.Start(s.bin, s.logs, fmt.Sprintf("%s-%d", v.name, v.starts), "fulmarhitch", "gateway", "--settings", v.File)
	if err == nil {
		v.process = p
	}
	return err
}

// stop ends what start started.
func (s *Soak) stop() {
	var all sync.WaitGroup
	for _, v := range s.vms {
		all.Go(func() {
			v.busy.Lock()
			defer v.busy.Unlock()
			_ = syscall.Kill(v.process.PID, syscall.SIGCONT)
			v.process.Kill()
			v.process.Stop(time.Second)
			v.store.Close()
		})
	}
	all.Wait()
	for _, u := range s.upstreams {
		u.link.Close()
		u.Close()
	}
}

// traffic sends calls of each kind until ctx is done.
func (s *Soak) traffic(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	ticker := time.NewTicker(callPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for path, method := range map[string]string{"/read/x": http.MethodGet, "/write/x": http.MethodPost} {
			all.Go(func() { s.record.add(method, s.caller.Call(context.WithoutCancel(ctx), method, path, "body")) })
		}
	}
}

// runs returns how often each request ran.
func (s *Soak) runs() map[string]int {
	all := make(map[string]int)
	for _, u := range s.upstreams {
		for id, n := range u.Runs() {
			all[id] += n
		}
	}
	return all
}

// calm checks that all gateways serve, and follow a new configuration in time, once the faults are over.
func (s *Soak) calm() (broken []string) {
	for _, v := range s.vms {
		failed := 0
		for range calmCalls {
			if s.caller.CallAt(context.Background(), v.Address, http.MethodPost, "/write/x", "body").Status != http.StatusOK {
				failed++
			}
		}
		if failed > 0 {
			broken = append(broken, fmt.Sprintf("%s fails %d of %d calls after the faults", v.name, failed, calmCalls))
		}
	}
	s.configure("/calm/")
	time.Sleep(inForce)
	for _, v := range s.vms {
		if a := s.caller.CallAt(context.Background(), v.Address, http.MethodGet, "/calm/x", ""); a.Status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("%s answers %d to a route that was added %s ago", v.name, a.Status, inForce))
		}
	}
	return broken
}

// configure puts a new configuration with one more route.
func (s *Soak) configure(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put(standin.ConfigurationKey, standin.Configuration(s.version, prefix))
}
