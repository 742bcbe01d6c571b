package lab3

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Gateway is a gateway that runs as a process of its own.
type Gateway struct {
	// Name identifies the VM, and Zone is its failure domain.
	Name, Zone string
	// Address serves callers, Ready readiness checks and Control other VMs.
	Address, Ready, Directory, Control, Metrics string

	file    string
	log     *os.File
	program string
	command *exec.Cmd
	// ended is closed when the process has ended, with err.
	ended chan struct{}
	err   error
}

var addresses atomic.Uint32

// FreeAddress returns a free port on a loopback address of its own.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+(pid>>8)%80, pid%256, 1+addresses.Add(1)%250))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// NewGateway returns a gateway that isn't started, with settings like those that the deploy file gives to a VM of brazos-registry. The
// lines extra are added to them.
func NewGateway(program, folder, name, zone, store, extra string) (*Gateway, error) {
	g := &Gateway{Name: name, Zone: zone, program: program, file: filepath.Join(folder, name+".toml")}
	for _, a := range []*string{&g.Address, &g.Ready, &g.Directory, &g.Control, &g.Metrics} {
		var err error
		if *a, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	g.log, err = os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`name = %q
failure-domain = %q
address = %q
ready-address = %q
directory-address = %q
store-address = %q
peer-address = %q
metrics-address = %q
link-rate = 1000.0
memory = 284
rules-delay = "2000ms"
stop-timeout = "6s"
retry-ratio = 0.2
retry-burst = 58
questions-per-second = 60
%s`, g.Name, g.Zone, g.Address, g.Ready, g.Directory, store, g.Control, g.Metrics, extra)
	return g, os.WriteFile(g.file, []byte(settings), 0o600)
}

// Start starts the process by the command of the deploy file.
func (g *Gateway) Start() error {
	g.command = exec.Command(g.program, "gateway", "--settings", g.file)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	// The process ends with the case, however that ends.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), g.command
	g.ended = ended
	go func() {
		g.err = command.Wait()
		close(ended)
	}()
	return nil
}

// Ended waits for the end of the process and returns its error, or reports that it lasts for longer.
func (g *Gateway) Ended(wait time.Duration) (err error, lasts bool) {
	select {
	case <-g.ended:
		return g.err, false
	case <-time.After(wait):
		return nil, true
	}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	_ = g.command.Process.Signal(s)
}

// End kills the process and waits for its end.
func (g *Gateway) End() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.ended
}

// IsReady asks the process whether it is ready.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.Ready + Name("ready"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all gateways are ready.
func AwaitReady(all []*Gateway, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range all {
		for !g.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready within %s", g.Name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Log returns the lines of the process's log with the text.
func (g *Gateway) Log(text string) []string {
	data, err := os.ReadFile(g.log.Name())
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
