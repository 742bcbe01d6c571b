package rehearsal

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/entry"
	"github.com/fulmarhitch/fulmarhitch/settings"
)

// childSettingsVar names the environment variable with the path of a settings file. If it is set, the test binary runs as
// an entry VM.
const childSettingsVar = "REHEARSAL_SETTINGS"

// TestMain runs an entry VM if childSettingsVar is set and the tests otherwise. It discards the log of kratos, which writes
// a line for each server.
func TestMain(m *testing.M) {
	log.SetLogger(log.NewStdLogger(io.Discard))
	if file := os.Getenv(childSettingsVar); file != "" {
		os.Exit(runChild(file))
	}
	os.Exit(m.Run())
}

// runChild runs an entry VM with the settings file and returns the exit code of the process.
func runChild(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 3
	}
	s, err := settings.Parse(file, text)
	if err != nil {
		return 4
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e, err := entry.New(s, logrus.NewEntry(logger))
	if err != nil || e.Run() != nil {
		return 5
	}
	return 0
}

// child is an entry VM in a separate process, which can be paused and sent signals.
type child struct {
	address, peerAddress string
	process              *exec.Cmd
	exited               chan error
}

// startChild starts a child and waits until it reports its status.
func (f *fleet) startChild(name string, domain int) *child {
	c := &child{address: f.freeAddress(), peerAddress: f.freeAddress(), exited: make(chan error, 1)}
	file := filepath.Join(f.t.TempDir(), "settings.toml")
	text := fmt.Sprintf("name = %q\nfailure-domain = \"d%d\"\naddress = %q\npeer-address = %q\nstore-address = %q\n"+
		"vm-list-address = %q\nstop-timeout = \"10s\"\n", name, domain, c.address, c.peerAddress, f.platformAddress, f.platformAddress)
	for _, v := range f.vms[:min(1, len(f.vms))] {
		text += fmt.Sprintf("peers = [%q]\n", v.Member().PeerAddress)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	c.process = exec.Command(os.Args[0])
	c.process.Env = append(os.Environ(), childSettingsVar+"="+file)
	if err := c.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { c.exited <- c.process.Wait() }()
	f.t.Cleanup(func() { _ = c.process.Process.Kill() })
	f.extraPeers = append(f.extraPeers, c.peerAddress)
	if !waitUntil(waitTimeout, func() bool { return strings.Contains(statusText(c.address), name) }) {
		f.t.Fatal("the process does not report its status")
	}
	return c
}

func statusText(address string) string {
	_, text := call("GET", "http://"+address+"/v1/status", "")
	return text
}

// freeAddress returns a loopback address with a port that is currently free.
func (f *fleet) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// pause suspends the process for the duration.
func (c *child) pause(d time.Duration) {
	_ = c.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = c.process.Process.Signal(syscall.SIGCONT)
}
