package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// program is the program that the deploy file builds.
const program = "target/fulmarhitch"

// Gateway is a gateway's process with its settings, and its own address of the store.
type Gateway struct {
	Name string
	// Address serves consumers, Directory look-ups and Ready readiness checks.
	Address, Directory, Ready string

	settings string
	process  *exec.Cmd
	ended    chan struct{}
	watches  atomic.Int64
	renewals atomic.Int64
	server   *http.Server
}

// Bounds are the settings of a small deployment, by the names of the template of a gateway's settings.
const Bounds = "link-rate = 1000.0\nmemory = 284\nrules-delay = \"2000ms\"\nstop-timeout = \"6s\"\nretry-ratio = 0.2\nretry-burst = 58\nquestions-per-second = 60\n"

// The ports of gateways are below those that the system gives to other sockets, so that none is taken before a gateway starts.
const firstPort, ports = 15000, 15000

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// NewGateways writes the settings of n gateways in the zone to the folder. Each reaches the store at an address of its own, so that its
// calls can be counted.
func NewGateways(n int, zone, folder string, store *standin.Store) ([]*Gateway, error) {
	var list []*Gateway
	for k := range n {
		g := &Gateway{Name: fmt.Sprintf("front-%s-%d", zone, k+1)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		handler := store.Handler()
		g.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == names["watch"]:
				g.watches.Add(1)
			case strings.HasPrefix(r.URL.Path, names["renew"]):
				g.renewals.Add(1)
			}
			handler.ServeHTTP(w, r)
		})}
		go func() { _ = g.server.Serve(l) }()
		addresses := make(map[string]string)
		text := fmt.Sprintf("name = %q\nfailure-domain = %q\nstore-address = %q\n%s", g.Name, zone, l.Addr().String(), Bounds)
		for _, name := range []string{"address", "ready-address", "directory-address", "peer-address", "metrics-address"} {
			if addresses[name], err = freeAddress(); err != nil {
				return nil, err
			}
			text += fmt.Sprintf("%s = %q\n", name, addresses[name])
		}
		g.Address, g.Ready, g.Directory = addresses["address"], addresses["ready-address"], addresses["directory-address"]
		g.settings = filepath.Join(folder, g.Name+".toml")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	return list, nil
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(program, "gateway", "--settings", g.settings)
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	g.process, g.ended = p, make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(g.process, g.ended)
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s os.Signal) error { return g.process.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (g *Gateway) Kill() {
	if g.process == nil {
		return
	}
	// An error means that the process has ended already.
	_ = g.process.Process.Kill()
	<-g.ended
}

// HasEnded reports whether the process has ended.
func (g *Gateway) HasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Watches returns the number of watches of the store that the gateway has made.
func (g *Gateway) Watches() int64 { return g.watches.Load() }

// Renewals returns the number of times that the gateway has renewed its lease.
func (g *Gateway) Renewals() int64 { return g.renewals.Load() }

// IsReady reports whether the gateway answers a readiness check with 200.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.Ready + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all gateways are ready and reports whether they are within the time.
func AwaitReady(list []*Gateway, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range list {
			if g.IsReady() {
				ready++
			}
		}
		if ready == len(list) {
			return true
		}
	}
	return false
}
