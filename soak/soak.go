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

	"github.com/fulmarhitch/fulmarhitch/faultproxy"
	"github.com/fulmarhitch/fulmarhitch/platform/standin"
	"github.com/fulmarhitch/fulmarhitch/standin/gatewayconfig"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

const (
	// serviceTime is the service time of a request at an upstream.
	serviceTime = 15 * time.Millisecond
	// callPause is the time between two calls of one kind.
	callPause = 8 * time.Millisecond
	// startupTime is the time within which the gateways register themselves.
	startupTime = 2 * time.Second
	// stopTimeout limits a graceful shutdown.
	stopTimeout = 6 * time.Second
	// minPause and maxPause limit the pause between the starts of two faults, maxFaultDuration the duration of a fault.
	minPause         = 100 * time.Millisecond
	maxPause         = 700 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// recoveryTime is the time after the last fault within which the fleet must recover.
	recoveryTime = 6 * time.Second
	// maxConfigurationDelay is the time within which a recovered gateway must apply a new configuration.
	maxConfigurationDelay = 2 * time.Second
	// recoveryCalls is the number of calls to each gateway that must succeed after the recovery time.
	recoveryCalls = 20
)

// Soak is one run.
type Soak struct {
	bin, logs string
	// gateways and upstreamsPerService are the numbers of processes and stand-ins.
	gateways, upstreamsPerService int
	// production is the folder of the programs that VMs run until their first restart.
	production   string
	random       *rand.Rand
	store        *standin.Store
	storeAddress string
	vms          []*vm
	upstreams    []*upstream
	caller       *standin.Caller
	record       record

	mu          sync.Mutex
	version     int
	events      []string
	faultsStart time.Time
}

// vm is a gateway with its own proxy to the store.
type vm struct {
	gatewayconfig.Gateway
	// processFault is locked during a fault of the process.
	processFault sync.Mutex
	name         string
	storeProxy   *faultproxy.Proxy
	process      *program.Program
	starts       int
}

// upstream is a stand-in of an upstream, reached through its own proxy.
type upstream struct {
	*standin.Upstream
	proxy *faultproxy.Proxy
	// processFault is locked while the upstream is not running.
	processFault sync.Mutex
}

// New returns a run of gateways and of upstreams for each of two services, that uses the programs in the folder bin and writes logs to
// the folder logs. The seed determines the faults.
func New(bin, logs string, seed uint64, gateways, upstreamsPerService int) *Soak {
	return &Soak{
		bin: bin, production: bin, logs: logs, gateways: gateways, upstreamsPerService: upstreamsPerService,
		random: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), version: 1,
	}
}

// UpgradeFrom makes the VMs run the programs in the folder production until their first restart. It must be called before Run.
func (s *Soak) UpgradeFrom(production string) {
	s.production = production
}

// Run starts the processes, injects faults for the duration and returns the violated guarantees, or an error if the run
// could not be started.
func (s *Soak) Run(duration time.Duration) (violations []string, err error) {
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(startupTime)
	s.faultsStart = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() { s.traffic(ctx) })
	s.injectFaults(duration)
	time.Sleep(recoveryTime)
	cancel()
	calls.Wait()
	return append(s.record.violations(s.runs()), s.checkRecovery()...), nil
}

// Events returns the injected faults in order, for the report of a failed run.
func (s *Soak) Events() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// Served returns the numbers of all attempts and of successful ones.
func (s *Soak) Served() (attempts, served int) { return s.record.served() }

func (s *Soak) start() error {
	var err error
	if s.storeAddress, err = s.store.Listen(); err != nil {
		return err
	}
	s.store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for _, service := range []string{"read", "write"} {
		for i := range s.upstreamsPerService {
			if err := s.startUpstream(fmt.Sprintf("i-%s-%d", service, i), service); err != nil {
				return err
			}
		}
	}
	var directories []string
	for i := range s.gateways {
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

// startUpstream starts a stand-in of an upstream and registers it in the store.
func (s *Soak) startUpstream(id, service string) error {
	u, err := standin.NewUpstream(id, service, "zone-a")
	if err != nil {
		return errors.Wrap(err, "soak: upstream")
	}
	u.SetBehaviour(standin.Normal, serviceTime)
	l, err := faultproxy.New(u.Address())
	if err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, &upstream{Upstream: u, proxy: l})
	s.store.Put(u.Key(), u.EntryAt(l.Address(), "ready"))
	return nil
}

// newVM returns a gateway and writes its settings.
func (s *Soak) newVM(name string) (*vm, error) {
	l, err := faultproxy.New(s.storeAddress)
	if err != nil {
		return nil, err
	}
	p, err := gatewayconfig.New(s.logs, name, l.Address(), fmt.Sprintf("stop-timeout = %q\n", stopTimeout))
	return &vm{Gateway: p, name: name, storeProxy: l}, err
}

// startVM starts the VM's process.
func (s *Soak) startVM(v *vm) error {
	bin := s.bin
	if v.starts == 0 {
		bin = s.production
	}
	v.starts++
	p, err := program.Start(bin, s.logs, fmt.Sprintf("%s-%d", v.name, v.starts), "fulmarhitch", "gateway", "--settings", v.File)
	if err == nil {
		v.process = p
	}
	return err
}

// stop ends the processes, links and upstreams that start started.
func (s *Soak) stop() {
	var wg sync.WaitGroup
	for _, v := range s.vms {
		wg.Go(func() {
			v.processFault.Lock()
			defer v.processFault.Unlock()
			_ = syscall.Kill(v.process.PID, syscall.SIGCONT)
			v.process.Kill()
			v.process.Stop(time.Second)
			v.storeProxy.Close()
		})
	}
	wg.Wait()
	for _, u := range s.upstreams {
		u.proxy.Close()
		u.Close()
	}
}

// traffic sends calls of each kind until ctx is done and waits for their answers.
func (s *Soak) traffic(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(callPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for path, method := range map[string]string{"/read/x": http.MethodGet, "/write/x": http.MethodPost} {
			wg.Go(func() { s.record.add(method, s.caller.Call(context.WithoutCancel(ctx), method, path, "body")) })
		}
	}
}

// runs returns how often each request ran, by its ID.
func (s *Soak) runs() map[string]int {
	total := make(map[string]int)
	for _, u := range s.upstreams {
		for id, n := range u.Runs() {
			total[id] += n
		}
	}
	return total
}

// checkRecovery checks, after the faults, that all gateways serve requests and apply a new configuration in time.
func (s *Soak) checkRecovery() (violations []string) {
	for _, v := range s.vms {
		failed := 0
		for range recoveryCalls {
			if s.caller.CallAt(context.Background(), v.Address, http.MethodPost, "/write/x", "body").Status != http.StatusOK {
				failed++
			}
		}
		if failed > 0 {
			violations = append(violations, fmt.Sprintf("%s failed %d of %d calls after the faults", v.name, failed, recoveryCalls))
		}
	}
	s.configure("/calm/")
	time.Sleep(maxConfigurationDelay)
	for _, v := range s.vms {
		if a := s.caller.CallAt(context.Background(), v.Address, http.MethodGet, "/calm/x", ""); a.Status != http.StatusOK {
			violations = append(violations,
				fmt.Sprintf("%s answered with status %d on a route that was added %s ago", v.name, a.Status, maxConfigurationDelay))
		}
	}
	return violations
}

// configure stores a new configuration with an additional route.
func (s *Soak) configure(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put(standin.ConfigurationKey, standin.Configuration(s.version, prefix))
}
