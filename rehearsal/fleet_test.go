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
	"github.com/fulmarhitch/fulmarhitch/link"
	"github.com/fulmarhitch/fulmarhitch/settings"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// inForce is the bound of promise 7 and leaving that of promise 5.
	inForce, leaving = 5 * time.Second, 2 * time.Second
	// soon bounds waits that prove no promise.
	soon = 15 * time.Second
)

// vm is one entry VM with its own link to the platform.
type vm struct {
	*entry.Entry
	link  *link.Link
	close sync.Once
}

// cut cuts the VM off from the platform, or ends the cut.
func (v *vm) cut(isCut bool) {
	if isCut {
		v.link.Set(link.Reset)
		return
	}
	v.link.Set(link.Sound)
}

func (v *vm) stop() {
	v.close.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = v.Close(ctx)
	})
}

// fleet is a platform, upstreams and entry VMs.
type fleet struct {
	t         *testing.T
	platform  *platform.Platform
	address   string
	domains   int
	max       int
	slots     int
	probes    float64
	upstreams []*server.Server
	// gone is left out of the file.
	gone *server.Server
	vms  []*vm
	// all is every VM that was started.
	all []*vm
	// paused is the VM in a process of its own, if there is one, and seeds are further peers of the settings.
	paused *child
	seeds  []string
}

// newFleet starts entry VMs over the failure domains with one upstream in each, and brings generation 1 into force.
func newFleet(t *testing.T, domains, vms int, change ...func(*fleet)) *fleet {
	f := &fleet{t: t, platform: platform.New(), domains: domains, max: 20, probes: 2, slots: 4}
	s := httptest.NewUnstartedServer(f.platform.Handler())
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(f.stop)
	f.address = strings.TrimPrefix(s.URL, "http://")
	for _, c := range change {
		c(f)
	}
	for len(f.upstreams) < domains {
		f.upstream(server.Settings{})
	}
	for i := range vms {
		f.start(fmt.Sprintf("e%d", i), i%domains)
	}
	if vms > 0 {
		if status, text := f.submit(f.vms[0], 0, "first"); status != http.StatusOK {
			t.Fatal(status, text)
		}
		f.reach(1, inForce)
	}
	return f
}

// stop ends all entry VMs at once.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, v := range f.all {
		wait.Go(v.stop)
	}
	wait.Wait()
}

// so checks an assertion of goconvey. Its Convey blocks share state, so that parallel tests can't use them.
func (f *fleet) so(actual any, check func(any, ...any) string, expected ...any) {
	f.t.Helper()
	if message := check(actual, expected...); message != "" {
		f.t.Fatal(message)
	}
}

func (f *fleet) upstream(s server.Settings) {
	s.Address, s.Slots = "127.0.0.1:0", f.slots
	u, err := server.New(s)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = u.Close() })
	f.upstreams = append(f.upstreams, u)
}

// start adds an entry VM whose settings name the first six VMs as peers.
func (f *fleet) start(name string, domain int) *vm {
	peers := slices.Clone(f.seeds)
	for _, v := range f.vms[:min(6, len(f.vms))] {
		peers = append(peers, v.Member().PeerAddress)
	}
	v := f.startWith(name, domain, peers)
	f.vms = append(f.vms, v)
	f.listVMs("")
	return v
}

func (f *fleet) startWith(name string, domain int, peers []string) *vm {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	l, err := link.New(f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(l.Close)
	e, err := entry.New(&settings.Settings{
		Name: name, FailureDomain: fmt.Sprintf("d%d", domain), Address: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		StoreAddress: l.Address(), VMListAddress: l.Address(), Peers: peers, StopTimeout: 10 * time.Second,
	}, logrus.NewEntry(quiet))
	if err == nil {
		err = e.Start(context.Background())
	}
	if err != nil {
		f.t.Fatal(err)
	}
	v := &vm{Entry: e, link: l}
	f.all = append(f.all, v)
	return v
}

// listVMs publishes the VM list; the upstream at the address leaving is marked so.
func (f *fleet) listVMs(leaving string) {
	var all []vmlist.VM
	for _, v := range f.vms {
		m := v.Member()
		all = append(all, vmlist.VM{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress,
			FailureDomain: m.FailureDomain, Role: vmlist.Entry, State: vmlist.Live})
	}
	for i, u := range f.upstreams {
		state := vmlist.Live
		if u.Address() == leaving {
			state = vmlist.Leaving
		}
		all = append(all, vmlist.VM{Name: fmt.Sprintf("u%d", i), Address: u.Address(),
			FailureDomain: fmt.Sprintf("d%d", i%f.domains), Role: vmlist.Upstream, State: state})
	}
	f.platform.SetVMs(all)
}

// file is the operators' file; id makes each one different.
func (f *fleet) file(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nmax-entry-vms = %d\naddress-lifetime = \"1s\"\ntenants = [\"division\"]\n", id, f.max)
	for i := range f.domains {
		fmt.Fprintf(&b, "[[failure-domain]]\nname = \"d%d\"\nregion = \"texas\"\n", i)
	}
	fmt.Fprintf(&b, "[[service]]\nname = \"lookups\"\ntenant = \"division\"\nconnections = 220\nprobes-per-second = %f\n"+
		"[[service.kind]]\nname = \"lookup\"\nclass = \"short\"\nidempotent = true\nweight = 1\ntimeout = \"8s\"\n"+
		"[[service.kind]]\nname = \"transfer\"\nclass = \"short\"\nidempotent = false\nweight = 1\ntimeout = \"8s\"\n", f.probes)
	for i, u := range f.upstreams {
		if u == f.gone {
			continue
		}
		fmt.Fprintf(&b, "[[service.upstream]]\nname = \"u%d\"\naddress = %q\nfailure-domain = \"d%d\"\nslots = %d\n",
			i, u.Address(), i%f.domains, f.slots)
	}
	return b.String()
}

func (f *fleet) submit(v *vm, base int, id string) (int, string) {
	return call(http.MethodPost, fmt.Sprintf("http://%s/v1/configuration?base=%d&submission=%s", v.Member().Address, base, id), f.file(id))
}

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

// until waits for the condition and tells whether it came within the bound.
func until(bound time.Duration, condition func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// reach tells whether all the VMs have the generation in force within the bound.
func (f *fleet) reach(n int, bound time.Duration, but ...*vm) bool {
	return until(bound, func() bool {
		for _, v := range f.vms {
			if (len(but) == 0 || v != but[0]) && (v.status().Generation != n || !v.status().Ready) {
				return false
			}
		}
		return true
	})
}

// stored returns the generation that the store holds.
func (f *fleet) stored() int {
	data, _ := f.platform.Value(envelope.Key)
	e, err := envelope.Decode(data)
	if err != nil {
		return -1
	}
	return int(e.Generation)
}
