package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
)

// addressCount counts the loopback addresses that were given out.
var addressCount atomic.Uint32

// freeIP returns a loopback IP address that nothing else of this process uses.
func freeIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 50+pid>>8%50, pid%256, 1+addressCount.Add(1)%250)
}

// listenFree listens on a free port of a loopback address of its own, so that no outgoing connection takes the port.
func listenFree() (net.Listener, error) {
	return net.Listen("tcp", freeIP()+":0")
}

// gateway is a gateway process.
type gateway struct {
	name, zone, ip   string
	front, directory string
	file, folder     string
	command          *exec.Cmd
}

// newGateway writes the settings that the template of the deploy file gives on a small deployment.
func newGateway(folder, name, zone, store string, seeds []string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, ip: freeIP(), folder: folder, file: filepath.Join(folder, name+".toml")}
	g.front, g.directory = g.ip+":8641", g.ip+":8644"
	quoted := make([]string, 0, len(seeds))
	for _, s := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf(`name = %q
failure-domain = %q
address = %q
ready-address = "%s:8640"
directory-address = %q
store-address = %q
peer-address = "%s:8649"
seeds = [%s]
metrics-address = "%s:9464"
link-rate = 1000.0
memory = 284
rules-delay = "2000ms"
stop-timeout = "6s"
retry-ratio = 0.2
retry-burst = 58
questions-per-second = 60
`, name, zone, g.front, g.ip, g.directory, store, g.ip, strings.Join(quoted, ","), g.ip)
	return g, os.WriteFile(g.file, []byte(text), 0o600)
}

// start starts the process.
func (g *gateway) start() error {
	out, err := os.Create(filepath.Join(g.folder, g.name+".log"))
	if err != nil {
		return err
	}
	g.command = exec.Command("target/fulmarhitch", "gateway", "--settings", g.file)
	g.command.Stdout, g.command.Stderr = out, out
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.command.Start()
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	_ = g.command.Wait()
}
