package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTimeout bounds the time until a process logs its address.
const startTimeout = 10 * time.Second

// process is one started program.
type process struct {
	name        string
	address     string
	peerAddress string
	command     *exec.Cmd
}

// startLine is the log line of a program that listens.
type startLine struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
}

// start runs a program of the folder bin, with its log in a file of the folder logs, and waits for its address.
func start(bin, logs, name, program string, arguments ...string) (*process, error) {
	file, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "measure-added")
	}
	reader, writer := io.Pipe()
	command := exec.Command(filepath.Join(bin, program), arguments...)
	command.Stdout = io.MultiWriter(file, writer)
	command.Stderr = command.Stdout
	// The kernel ends the programs if the demo itself is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "measure-added: start %s", name)
	}
	found := make(chan startLine, 1)
	go scan(reader, found)
	select {
	case line := <-found:
		return &process{name: name, address: line.Address, peerAddress: line.PeerAddress, command: command}, nil
	case <-time.After(startTimeout):
		_ = command.Process.Kill()
		return nil, errors.Newf("measure-added: %s logged no address within %s; see %s", name, startTimeout, file.Name())
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

// kill ends the process without notice.
func (p *process) kill() {
	_ = p.command.Process.Kill()
}

// stop asks the process to end and kills it if it has not ended after the timeout.
func (p *process) stop(timeout time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
		p.kill()
		<-ended
	}
}
