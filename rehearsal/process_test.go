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

// childSettings names the variable with the file of settings, by which the test binary runs as an entry VM's process.
const childSettings = "REHEARSAL_SETTINGS"

// TestMain silences the log of kratos, which prints a line for each server.
func TestMain(m *testing.M) {
	log.SetLogger(log.NewStdLogger(io.Discard))
	if file := os.Getenv(childSettings); file != "" {
		os.Exit(runChild(file))
	}
	os.Exit(m.Run())
}

func runChild(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 3
	}
	s, err := settings.Parse(file, text)
	if err != nil {
		return 4
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	e, err := entry.New(s, logrus.NewEntry(quiet))
	if err != nil || e.Run() != nil {
		return 5
	}
	return 0
}

// child is an entry VM in a process of its own, which can be frozen and told to stop.
type child struct {
	address, peerAddress string
	process              *exec.Cmd
	ended                chan error
}

func (f *fleet) child(name string, domain int) *child {
	c := &child{address: f.free(), peerAddress: f.free(), ended: make(chan error, 1)}
	file := filepath.Join(f.t.TempDir(), "settings.toml")
	text := fmt.Sprintf("name = %q\nfailure-domain = \"d%d\"\naddress = %q\npeer-address = %q\nstore-address = %q\n"+
		"vm-list-address = %q\nstop-timeout = \"10s\"\n", name, domain, c.address, c.peerAddress, f.address, f.address)
	for _, v := range f.vms[:min(1, len(f.vms))] {
		text += fmt.Sprintf("peers = [%q]\n", v.Member().PeerAddress)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	c.process = exec.Command(os.Args[0])
	c.process.Env = append(os.Environ(), childSettings+"="+file)
	if err := c.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { c.ended <- c.process.Wait() }()
	f.t.Cleanup(func() { _ = c.process.Process.Kill() })
	f.seeds = append(f.seeds, c.peerAddress)
	if !until(soon, func() bool { return strings.Contains(body(c.address), name) }) {
		f.t.Fatal("the process does not answer")
	}
	return c
}

func body(address string) string {
	_, text := call("GET", "http://"+address+"/v1/status", "")
	return text
}

// free returns an address whose port is free now.
func (f *fleet) free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// pause freezes the process for a time.
func (c *child) pause(d time.Duration) {
	_ = c.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = c.process.Process.Signal(syscall.SIGCONT)
}
