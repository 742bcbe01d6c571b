package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/entry"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/settings"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

// programs is the folder with the built programs.
var programs string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.Command("go", "build", "-o", folder, "../cmd/fulmarhitch", "../cmd/standin-upstream")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// waitTimeout bounds every wait. It is far above the few seconds that a step takes on a busy machine.
	waitTimeout = 25 * time.Second

	// lookup is an idempotent kind of request and registration a non-idempotent one.
	lookup       = "lookup"
	registration = "registration"
)

// fleetConfig is the size of a fleet. VMs and upstreams are assigned to the failure domains in turn.
type fleetConfig struct {
	domains, vms, upstreams, slots int
	// vmPrograms and upstreamPrograms select processes in place of entry VMs and upstreams within the test process.
	vmPrograms, upstreamPrograms bool
}

type vm struct {
	name, domain, address, peerAddress, incarnation string
	process                                         *exec.Cmd
}

type upstreamVM struct {
	name, domain, address string
	server                *server.Server
	process               *exec.Cmd
	// finalRuns is the record of runs that was read before the process was killed.
	finalRuns map[string]int
}

type fleet struct {
	t         *testing.T
	config    fleetConfig
	platform  *platform.Platform
	store     string
	vms       []*vm
	upstreams []*upstreamVM
	entries   []*entry.Entry
}

// newFleet starts a fleet with a configuration in force and waits until every VM is ready and sees all others alive.
func newFleet(t *testing.T, c fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, config: c, platform: platform.New()}
	store := httptest.NewServer(f.platform.Handler())
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	t.Cleanup(f.close)
	f.store = store.Listener.Addr().String()
	for i := range c.upstreams {
		f.startUpstream(i)
	}
	data, err := envelope.Encode(envelope.Envelope{}.Next("proof", []byte(f.declaration())))
	f.must(err)
	f.platform.Put(envelope.Key, 0, data)
	var starts []func()
	for i := range c.vms {
		v := &vm{name: fmt.Sprintf("e%d", i), domain: f.domain(i)}
		f.vms = append(f.vms, v)
		starts = append(starts, f.prepare(v))
	}
	f.publishVMs()
	for _, start := range starts {
		start()
	}
	f.waitJoined()
	return f
}

func (f *fleet) domain(i int) string { return fmt.Sprintf("fd-%d", i%f.config.domains) }

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// waitUntil waits until the condition holds, and fails the test after waitTimeout.
func (f *fleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %s", what, waitTimeout)
		}
	}
}

func (f *fleet) freeAddress() string {
	f.t.Helper()
	address, err := program.FreeAddress()
	f.must(err)
	return address
}

// startProgram starts a program that is killed at the end of the test.
func (f *fleet) startProgram(name string, arguments ...string) *exec.Cmd {
	f.t.Helper()
	c := exec.Command(filepath.Join(programs, name), arguments...)
	// The operating system kills the programs if the test binary is killed at its time limit.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.must(c.Start())
	f.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

func (f *fleet) startUpstream(i int) {
	f.t.Helper()
	u := &upstreamVM{name: fmt.Sprintf("records-%d", i), domain: f.domain(i)}
	f.upstreams = append(f.upstreams, u)
	if f.config.upstreamPrograms {
		u.address = f.freeAddress()
		u.process = f.startProgram("standin-upstream", "--address", u.address, "--slots", strconv.Itoa(f.config.slots), "--mean", "5ms")
		f.waitUntil("upstream listens", func() bool { return listens(u.address) })
		return
	}
	s, err := server.New(server.Settings{Address: "127.0.0.1:0", Slots: f.config.slots, QueueLimit: 3, Mean: 5 * time.Millisecond, Seed: uint64(i + 1)})
	f.must(err)
	u.server, u.address = s, s.Address()
	f.t.Cleanup(func() { _ = s.Close() })
}

func listens(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func (f *fleet) declaration() string {
	var b strings.Builder
	b.WriteString("max-entry-vms = 8\naddress-lifetime = \"1s\"\ntenants = [\"division\"]\n")
	for i := range f.config.domains {
		fmt.Fprintf(&b, "\n[[failure-domain]]\nname = %q\nregion = \"texas\"\n", f.domain(i))
	}
	b.WriteString("\n[[service]]\nname = \"records\"\ntenant = \"division\"\nconnections = 220\nprobes-per-second = 2.0\n")
	for _, kind := range []string{lookup, registration} {
		fmt.Fprintf(&b, "\n[[service.kind]]\nname = %q\nclass = \"short\"\nidempotent = %t\nweight = 10\ntimeout = \"20s\"\n", kind, kind == lookup)
	}
	for _, u := range f.upstreams {
		fmt.Fprintf(&b, "\n[[service.upstream]]\nname = %q\naddress = %q\nfailure-domain = %q\nslots = %d\n", u.name, u.address, u.domain, f.config.slots)
	}
	return b.String()
}

// prepare sets the VM's addresses and returns the function that starts it.
func (f *fleet) prepare(v *vm) func() {
	f.t.Helper()
	if f.config.vmPrograms {
		if v.address == "" {
			v.address, v.peerAddress = f.freeAddress(), f.freeAddress()
		}
		file := filepath.Join(f.t.TempDir(), "settings.toml")
		f.must(os.WriteFile(file, fmt.Appendf(nil, "name = %q\nfailure-domain = %q\naddress = %q\npeer-address = %q\n"+
			"store-address = %q\nvm-list-address = %q\npeers = []\nlog-level = \"error\"\n",
			v.name, v.domain, v.address, v.peerAddress, f.store, f.store), 0o600))
		return func() { v.process = f.startProgram("fulmarhitch", "run", "--settings", file) }
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := entry.New(&settings.Settings{
		Memory: 256,
		Name:   v.name, FailureDomain: v.domain, Address: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", StoreAddress: f.store,
		VMListAddress: f.store, StopTimeout: time.Second, LogLevel: "error",
	}, logrus.NewEntry(log))
	f.must(err)
	v.address, v.peerAddress = e.Member().Address, e.Member().PeerAddress
	return func() {
		f.must(e.Start(context.Background()))
		f.entries = append(f.entries, e)
	}
}

// close stops the VMs of the test process concurrently.
func (f *fleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var closing sync.WaitGroup
	for _, e := range f.entries {
		closing.Go(func() { _ = e.Close(ctx) })
	}
	closing.Wait()
}

// publishVMs sets the platform's VM list to the fleet's VMs and the extra ones.
func (f *fleet) publishVMs(extra ...vmlist.VM) {
	for _, v := range f.vms {
		extra = append(extra, vmlist.VM{Name: v.name, Address: v.address, PeerAddress: v.peerAddress,
			FailureDomain: v.domain, Role: vmlist.Entry, State: vmlist.Live})
	}
	f.platform.SetVMs(extra)
}

type status struct {
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Running     int    `json:"running"`
	Members     []struct{ Name, Address, State string }
	Groups      []struct{ Group string }
}

func (f *fleet) status(v *vm) (status, bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var s status
	res, err := client.Get("http://" + v.address + "/v1/status")
	if err != nil {
		return s, false
	}
	defer func() { _ = res.Body.Close() }()
	return s, json.NewDecoder(res.Body).Decode(&s) == nil
}

// waitJoined waits until every VM is ready and sees every other VM alive at its current address.
func (f *fleet) waitJoined() {
	f.t.Helper()
	for _, v := range f.vms {
		f.waitUntil(v.name+" is ready and sees all other VMs", func() bool {
			s, ok := f.status(v)
			v.incarnation = s.Incarnation
			alive := make(map[string]bool)
			for _, m := range s.Members {
				alive[m.Address] = m.State == "alive"
			}
			for _, other := range f.vms {
				ok = ok && alive[other.address]
			}
			return ok && s.Ready
		})
	}
}

// home returns the home of the only group.
func (f *fleet) home() *vm {
	f.t.Helper()
	for _, v := range f.vms {
		if s, ok := f.status(v); ok && len(s.Groups) > 0 {
			return v
		}
	}
	f.t.Fatal("no VM is home of the group")
	return nil
}

// others returns all VMs except this one.
func (f *fleet) others(v *vm) []*vm {
	var all []*vm
	for _, o := range f.vms {
		if o != v {
			all = append(all, o)
		}
	}
	return all
}

func (f *fleet) signal(c *exec.Cmd, s syscall.Signal) {
	f.t.Helper()
	f.must(c.Process.Signal(s))
}

func (f *fleet) kill(c *exec.Cmd) {
	f.signal(c, syscall.SIGKILL)
	_ = c.Wait()
}

// setFaults replaces the faults of the upstream.
func (f *fleet) setFaults(u *upstreamVM, text string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+u.address+"/control/faults", strings.NewReader(text))
	f.must(err)
	res, err := http.DefaultClient.Do(req)
	f.must(err)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		f.t.Fatalf("faults %s: status %d", text, res.StatusCode)
	}
}

// runsAt returns how often each body ran at one upstream, by the body's digest.
func (f *fleet) runsAt(u *upstreamVM) map[string]int {
	f.t.Helper()
	counts := make(map[string]int)
	if u.server != nil {
		for _, r := range u.server.Runs() {
			counts[r.Digest]++
		}
		return counts
	}
	if u.finalRuns != nil {
		return u.finalRuns
	}
	res, err := http.Get("http://" + u.address + "/control/runs")
	f.must(err)
	defer func() { _ = res.Body.Close() }()
	f.must(json.NewDecoder(res.Body).Decode(&counts))
	return counts
}

// runs returns how often the body ran, at all upstreams together.
func (f *fleet) runs(body string) int {
	f.t.Helper()
	n := 0
	for _, u := range f.upstreams {
		n += f.runsAt(u)[bodyDigest(body)]
	}
	return n
}
