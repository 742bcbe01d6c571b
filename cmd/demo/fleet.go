package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

// service is one service of the demo, with one kind of request.
type service struct {
	name, tenant, kind string
	idempotent         bool
	slots, connections int
	mean               time.Duration
}

// services are those of the tenants "division" and "talgljus".
var services = []service{
	{"lookups", "division", "lookup", true, 3, 220, 8 * time.Millisecond},
	{"registrations", "division", "registration", false, 3, 220, 12 * time.Millisecond},
	{"transfers", "division", "transfer", false, 3, 220, 12 * time.Millisecond},
	{"withdrawals", "division", "withdrawal", false, 3, 220, 12 * time.Millisecond},
	{"stock", "talgljus", "stock-check", true, 6, 260, 8 * time.Millisecond},
	{"orders", "talgljus", "order", false, 6, 260, 15 * time.Millisecond},
	{"kilns", "talgljus", "kiln-booking", false, 6, 260, 15 * time.Millisecond},
	{"notes", "talgljus", "delivery-note", false, 6, 260, 12 * time.Millisecond},
}

var failureDomains = []string{"fd-a", "fd-b", "fd-c"}

const entryVMs = 6

// fleet holds the processes of the demo.
type fleet struct {
	folder    string
	platform  *program.Program
	entries   []*program.Program
	upstreams map[string][]*program.Program
}

// newFleet starts the platform stand-in, the upstreams and the entry VMs, and submits the configuration. After an error the
// returned fleet, unless nil, has to be stopped too.
func newFleet(bin, folder string) (*fleet, error) {
	f := &fleet{folder: folder, upstreams: make(map[string][]*program.Program)}
	var err error
	if f.platform, err = program.Start(bin, folder, "platform", "standin-platform", "--vm-list-lag", "1s"); err != nil {
		return nil, err
	}
	for _, s := range services {
		for i, domain := range failureDomains {
			name := fmt.Sprintf("%s-%d", s.name, i+1)
			p, err := program.Start(bin, folder, name+"-"+domain, "standin-upstream",
				"--slots", fmt.Sprint(s.slots), "--mean", s.mean.String(), "--seed", fmt.Sprint(i+1))
			if err != nil {
				return f, err
			}
			f.upstreams[s.name] = append(f.upstreams[s.name], p)
		}
	}
	return f, f.startEntries(bin)
}

func (f *fleet) startEntries(bin string) error {
	for i := range entryVMs {
		name := fmt.Sprintf("entry-%d", i+1)
		file := filepath.Join(f.folder, name+".toml")
		text, err := f.settings(name, failureDomains[i%len(failureDomains)])
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "demo")
		}
		p, err := program.Start(bin, f.folder, name, "fulmarhitch", "run", "--settings", file)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	if err := f.publishVMs(); err != nil {
		return err
	}
	return f.submit()
}

func (f *fleet) settings(name, domain string) (string, error) {
	address, err := program.FreeAddress()
	if err != nil {
		return "", err
	}
	peerAddress, err := program.FreeAddress()
	if err != nil {
		return "", err
	}
	var peers []string
	for _, p := range f.entries {
		peers = append(peers, fmt.Sprintf("%q", p.PeerAddress))
	}
	return fmt.Sprintf(`name = %q
failure-domain = %q
address = %q
peer-address = %q
store-address = %q
vm-list-address = %q
peers = [%s]
stop-timeout = "30s"
log-level = "info"
`, name, domain, address, peerAddress, f.platform.Address, f.platform.Address, strings.Join(peers, ", ")), nil
}

// vmEntry is an entry of the platform's VM list.
type vmEntry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address,omitempty"`
	FailureDomain string `json:"failure-domain"`
	Role          string `json:"role"`
	State         string `json:"state"`
}

// publishVMs sends the list of entry VMs to the platform stand-in.
func (f *fleet) publishVMs() error {
	var vms []vmEntry
	for i, p := range f.entries {
		vms = append(vms, vmEntry{Name: p.Name, Address: p.Address, PeerAddress: p.PeerAddress,
			FailureDomain: failureDomains[i%len(failureDomains)], Role: "entry", State: "live"})
	}
	body, err := json.Marshal(map[string]any{"vms": vms})
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	return send(http.MethodPut, "http://"+f.platform.Address+"/control/vms", body)
}

// submit submits the configuration through the first entry VM. It retries while the submission fails.
func (f *fleet) submit() error {
	url := "http://" + f.entries[0].Address + "/v1/configuration?base=0&submission=demo-1"
	var err error
	for range 20 {
		if err = send(http.MethodPost, url, []byte(f.declaration())); err == nil {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return err
}

// declaration returns the text of the operators' file.
func (f *fleet) declaration() string {
	var b strings.Builder
	b.WriteString("max-entry-vms = 19\naddress-lifetime = \"3s\"\ntenants = [\"division\", \"talgljus\"]\n")
	for _, d := range failureDomains {
		fmt.Fprintf(&b, "\n[[failure-domain]]\nname = %q\nregion = \"demo\"\n", d)
	}
	for _, s := range services {
		fmt.Fprintf(&b, "\n[[service]]\nname = %q\ntenant = %q\nconnections = %d\nprobes-per-second = 2.0\n", s.name, s.tenant, s.connections)
		fmt.Fprintf(&b, "\n[[service.kind]]\nname = %q\nclass = \"short\"\nidempotent = %t\nweight = 10\ntimeout = \"2s\"\n", s.kind, s.idempotent)
		for i, p := range f.upstreams[s.name] {
			fmt.Fprintf(&b, "\n[[service.upstream]]\nname = \"%s-%d\"\naddress = %q\nfailure-domain = %q\nslots = %d\n",
				s.name, i+1, p.Address, failureDomains[i], s.slots)
		}
	}
	return b.String()
}

// stop kills all processes.
func (f *fleet) stop() {
	for _, p := range f.entries {
		p.Kill()
	}
	for _, instances := range f.upstreams {
		for _, p := range instances {
			p.Kill()
		}
	}
	f.platform.Kill()
}

// send makes one HTTP request and returns an error unless its status is 2xx.
func send(method, url string, body []byte) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	client := http.Client{Timeout: 15 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	if res.StatusCode/100 != 2 {
		return errors.Newf("demo: %s %s: status %d: %s", method, url, res.StatusCode, text)
	}
	return nil
}
