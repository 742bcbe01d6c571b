package rehearsal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/entry"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/faultproxy"
	"github.com/fulmarhitch/fulmarhitch/settings"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// inForceTimeout bounds the time until a change is in force (promise 7), and drainTimeout the time until a leaving upstream
	// gets no new requests (promise 5).
	inForceTimeout, drainTimeout = 5 * time.Second, 2 * time.Second
	// waitTimeout bounds waits that test no guaranteed time.
	waitTimeout = 15 * time.Second
)

// vm is one entry VM with its own proxy to the platform.
type vm struct {
	*entry.Entry
	proxy *faultproxy.Proxy
	close sync.Once
}

// setPartitioned starts or ends a network partition between the VM and the platform.
func (v *vm) setPartitioned(isPartitioned bool) {
	if isPartitioned {
		v.proxy.Set(faultproxy.Reset)
		return
	}
	v.proxy.Set(faultproxy.Forwarding)
}

// stop closes the VM without a drain.
func (v *vm) stop() {
	v.close.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = v.Close(ctx)
	})
}

// fleet is a platform with upstreams and entry VMs.
type fleet struct {
	t               *testing.T
	platform        *platform.Platform
	platformAddress string
	domains         int
	maxEntryVMs     int
	slots           int
	probesPerSecond float64
	upstreams       []*server.Server
	// omitted is the upstream that the operators' file leaves out, or nil.
	omitted *server.Server
	vms     []*vm
	// started holds every VM that was started.
	started []*vm
	// childVM is the VM in a separate process, or nil, and extraPeers are further peers in the settings of new VMs.
	childVM    *child
	extraPeers []string
}

// newFleet starts entry VMs and at least one upstream in each failure domain. If there are VMs, it brings generation 1 into
// force.
func newFleet(t *testing.T, domains, vms int, options ...func(*fleet)) *fleet {
	f := &fleet{t: t, platform: platform.New(), domains: domains, maxEntryVMs: 20, probesPerSecond: 2, slots: 4}
	s := httptest.NewUnstartedServer(f.platform.Handler())
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(f.stop)
	f.platformAddress = strings.TrimPrefix(s.URL, "http://")
	for _, option := range options {
		option(f)
	}
	for len(f.upstreams) < domains {
		f.addUpstream(server.Settings{})
	}
	for i := range vms {
		f.start(fmt.Sprintf("e%d", i), i%domains)
	}
	if vms > 0 {
		if status, text := f.submit(f.vms[0], 0, "first"); status != http.StatusOK {
			t.Fatal(status, text)
		}
		f.waitInForce(1, inForceTimeout)
	}
	return f
}

// stop stops all entry VMs concurrently.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, v := range f.started {
		wait.Go(v.stop)
	}
	wait.Wait()
}

// so checks an assertion of goconvey. Parallel tests can't use its Convey blocks, because these share state.
func (f *fleet) so(actual any, check func(any, ...any) string, expected ...any) {
	f.t.Helper()
	if message := check(actual, expected...); message != "" {
		f.t.Fatal(message)
	}
}

// addUpstream starts another upstream with the settings.
func (f *fleet) addUpstream(s server.Settings) {
	s.Address, s.Slots = "127.0.0.1:0", f.slots
	u, err := server.New(s)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = u.Close() })
	f.upstreams = append(f.upstreams, u)
}

// start starts an entry VM whose settings list extraPeers and the first six VMs as peers, and adds it to the VM list.
func (f *fleet) start(name string, domain int) *vm {
	peers := slices.Clone(f.extraPeers)
	for _, v := range f.vms[:min(6, len(f.vms))] {
		peers = append(peers, v.Member().PeerAddress)
	}
	v := f.startWith(name, domain, peers)
	f.vms = append(f.vms, v)
	f.publishVMs("")
	return v
}

// startWith starts an entry VM with the given peers in its settings. It doesn't add it to f.vms or to the VM list.
func (f *fleet) startWith(name string, domain int, peers []string) *vm {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l, err := faultproxy.New(f.platformAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(l.Close)
	e, err := entry.New(&settings.Settings{
		Memory: 256,
		Name:   name, FailureDomain: fmt.Sprintf("d%d", domain), Address: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		StoreAddress: l.Address(), VMListAddress: l.Address(), Peers: peers, StopTimeout: 10 * time.Second,
	}, logrus.NewEntry(logger))
	if err == nil {
		err = e.Start(context.Background())
	}
	if err != nil {
		f.t.Fatal(err)
	}
	v := &vm{Entry: e, proxy: l}
	f.started = append(f.started, v)
	return v
}

// publishVMs sets the platform's VM list. The upstream at the given address gets the state Leaving.
func (f *fleet) publishVMs(leavingAddress string) {
	var all []vmlist.VM
	for _, v := range f.vms {
		m := v.Member()
		all = append(all, vmlist.VM{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress,
			FailureDomain: m.FailureDomain, Role: vmlist.Entry, State: vmlist.Live})
	}
	for i, u := range f.upstreams {
		state := vmlist.Live
		if u.Address() == leavingAddress {
			state = vmlist.Leaving
		}
		all = append(all, vmlist.VM{Name: fmt.Sprintf("u%d", i), Address: u.Address(),
			FailureDomain: fmt.Sprintf("d%d", i%f.domains), Role: vmlist.Upstream, State: state})
	}
	f.platform.SetVMs(all)
}

// operatorsFile returns the operators' file. The id makes the text of each one different.
func (f *fleet) operatorsFile(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nmax-entry-vms = %d\naddress-lifetime = \"1s\"\ntenants = [\"division\"]\n", id, f.maxEntryVMs)
	for i := range f.domains {
		fmt.Fprintf(&b, "[[failure-domain]]\nname = \"d%d\"\nregion = \"texas\"\n", i)
	}
	fmt.Fprintf(&b, "[[service]]\nname = \"lookups\"\ntenant = \"division\"\nconnections = 220\nprobes-per-second = %f\n"+
		"[[service.kind]]\nname = \"lookup\"\nclass = \"short\"\nidempotent = true\nweight = 1\ntimeout = \"8s\"\n"+
		"[[service.kind]]\nname = \"transfer\"\nclass = \"short\"\nidempotent = false\nweight = 1\ntimeout = \"8s\"\n", f.probesPerSecond)
	for i, u := range f.upstreams {
		if u == f.omitted {
			continue
		}
		fmt.Fprintf(&b, "[[service.upstream]]\nname = \"u%d\"\naddress = %q\nfailure-domain = \"d%d\"\nslots = %d\n",
			i, u.Address(), i%f.domains, f.slots)
	}
	return b.String()
}

// submit submits the operators' file to the VM and returns the status and text of the answer.
func (f *fleet) submit(v *vm, base int, id string) (int, string) {
	return call(http.MethodPost, fmt.Sprintf("http://%s/v1/configuration?base=%d&submission=%s", v.Member().Address, base, id), f.operatorsFile(id))
}

// call sends a request and returns the status and text of the answer, or status 0 and the error. A reason in the answer
// comes first in the text.
func call(method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Fulmarhitch-Request-Id", "r")
	res, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, fmt.Sprint(res.Header.Get("Fulmarhitch-Reason"), string(text), err)
}

// lookup sends one idempotent call to the VM.
func (v *vm) lookup() (int, string) {
	return call(http.MethodGet, "http://"+v.Member().Address+"/v1/call/lookups/lookup/x", "")
}

type status struct {
	Generation int
	Ready      bool
	Isolated   bool
	Members    []struct{ Name, State string }
	Groups     []struct{ Group string }
}

func (v *vm) status() (s status) {
	_, text := call(http.MethodGet, "http://"+v.Member().Address+"/v1/status", "")
	_ = json.NewDecoder(strings.NewReader(text)).Decode(&s)
	return s
}

// waitUntil waits for the condition and reports whether it held within the timeout.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// waitInForce waits until all VMs, except the given one, are ready and have the generation in force. It reports whether that
// happened within the timeout.
func (f *fleet) waitInForce(n int, timeout time.Duration, except ...*vm) bool {
	return waitUntil(timeout, func() bool {
		for _, v := range f.vms {
			if (len(except) == 0 || v != except[0]) && (v.status().Generation != n || !v.status().Ready) {
				return false
			}
		}
		return true
	})
}

// storedGeneration returns the generation in the store, or -1 if the store holds no valid configuration.
func (f *fleet) storedGeneration() int {
	data, _ := f.platform.Value(envelope.Key)
	e, err := envelope.Decode(data)
	if err != nil {
		return -1
	}
	return int(e.Generation)
}
