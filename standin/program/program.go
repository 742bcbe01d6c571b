package program

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTimeout bounds the time from the start of a process until it logs its address.
const startTimeout = 10 * time.Second

// Program is a process started by Start.
type Program struct {
	// Name is the name given to Start.
	Name string
	// Address and PeerAddress are the IP addresses and ports logged by the process; PeerAddress may be empty.
	Address, PeerAddress string
	// PID is the process identifier.
	PID int

	command *exec.Cmd
}

// Folder returns bin, or the folder of the running program if bin is empty.
func Folder(bin string) (string, error) {
	if bin != "" {
		return bin, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), errors.Wrap(err, "program: find the folder of the running program")
}

// startLine holds the fields of the log line with which a program reports its addresses.
type startLine struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
}

// Start runs a program from the folder bin, copies its output to the file name.log in the folder logs, and waits until
// the program logs its address.
func Start(bin, logs, name, program string, arguments ...string) (*Program, error) {
	file, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "program")
	}
	reader, writer := io.Pipe()
	command := exec.Command(filepath.Join(bin, program), arguments...)
	command.Stdout = io.MultiWriter(file, writer)
	command.Stderr = command.Stdout
	// The operating system kills the program if the process that started it is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "program: start %s", name)
	}
	found := make(chan startLine, 1)
	go scan(reader, found)
	select {
	case line := <-found:
		return &Program{Name: name, Address: line.Address, PeerAddress: line.PeerAddress, PID: command.Process.Pid, command: command}, nil
	case <-time.After(startTimeout):
		_ = command.Process.Kill()
		return nil, errors.Newf("program: %s logged no address within %s; see %s", name, startTimeout, file.Name())
	}
}

// scan sends the first log line with an address to found and discards all other output.
func scan(r io.Reader, found chan<- startLine) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for sent := false; lines.Scan(); {
		var line startLine
		if !sent && json.Unmarshal(lines.Bytes(), &line) == nil && line.Address != "" {
			found <- line
			sent = true
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Kill kills the process with SIGKILL.
func (p *Program) Kill() {
	_ = p.command.Process.Kill()
}

// Stop sends SIGTERM to the process, waits until it exits, and kills it if it has not exited within the timeout.
func (p *Program) Stop(timeout time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	exited := make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(exited)
	}()
	select {
	case <-exited:
	case <-time.After(timeout):
		p.Kill()
		<-exited
	}
}

// addressCount counts the loopback IP addresses given out by FreeAddress.
var addressCount atomic.Uint32

// FreeAddress returns a loopback IP address that nothing else uses, with a free port, so that no outgoing connection
// takes the port before a program listens or while it is restarted.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>8%100, pid%256, 1+addressCount.Add(1)%250))
	if err != nil {
		return "", errors.Wrap(err, "program: find a free address")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
