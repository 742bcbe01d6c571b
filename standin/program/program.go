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

// startTimeout bounds the time until a process logs its address.
const startTimeout = 10 * time.Second

// Program is one started program.
type Program struct {
	// Name is the name that the starter gave it.
	Name string
	// Address and PeerAddress are the IP addresses and ports that it logged; PeerAddress may be empty.
	Address, PeerAddress string
	// PID is the identifier of the process.
	PID int

	command *exec.Cmd
}

// Folder returns the folder of the programs: the given one, or else that of the running program.
func Folder(bin string) (string, error) {
	if bin != "" {
		return bin, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), errors.Wrap(err, "program: folder")
}

// startLine is the log line of a program that listens.
type startLine struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
}

// Start runs a program of the folder bin, with its log in a file of the folder logs, and waits for its address.
func Start(bin, logs, name, program string, arguments ...string) (*Program, error) {
	file, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "program")
	}
	reader, writer := io.Pipe()
	command := exec.Command(filepath.Join(bin, program), arguments...)
	command.Stdout = io.MultiWriter(file, writer)
	command.Stderr = command.Stdout
	// The kernel ends the programs if the demo itself is killed.
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

// scan passes the first log line with an address on and reads the rest away.
func scan(r io.Reader, found chan<- startLine) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for told := false; lines.Scan(); {
		var line startLine
		if !told && json.Unmarshal(lines.Bytes(), &line) == nil && line.Address != "" {
			found <- line
			told = true
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Kill ends the process without notice.
func (p *Program) Kill() {
	_ = p.command.Process.Kill()
}

// Stop asks the process to end and kills it if it has not ended after the timeout.
func (p *Program) Stop(timeout time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
		p.Kill()
		<-ended
	}
}

// addresses counts the loopback IP addresses that were given out.
var addresses atomic.Uint32

// FreeAddress returns a free port of a loopback IP address that nothing else uses, so that no outgoing connection takes the
// port before a program listens or while it is restarted.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>8%100, pid%256, 1+addresses.Add(1)%250))
	if err != nil {
		return "", errors.Wrap(err, "program: free address")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
