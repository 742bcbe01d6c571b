package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

const (
	serviceName = "lookups"
	kindName    = "lookup"
	// slots exceeds the number of calls in progress, so that no call waits.
	slots = 256
	// addressLifetime is short because an entry VM that shuts down continues to serve for that time.
	addressLifetime = "1s"
	stopTimeout     = 10 * time.Second
)

// fleet holds the processes of the measurement.
type fleet struct {
	platform, upstream, entry *program.Program
}

// newFleet starts the processes and submits the configuration. The fleet has to be stopped after an error too.
func newFleet(bin, folder, profile string) (*fleet, error) {
	f := new(fleet)
	var err error
	if f.platform, err = program.Start(bin, folder, "platform", "standin-platform"); err != nil {
		return f, err
	}
	f.upstream, err = program.Start(bin, folder, "upstream", "standin-upstream", "--mean", "0s", "--slots", fmt.Sprint(slots),
		"--waiting", fmt.Sprint(slots), "--connection-cost", "0s", "--probe-cost", "0s")
	if err != nil {
		return f, err
	}
	if err = f.startEntry(bin, folder, profile); err != nil {
		return f, err
	}
	return f, f.submit()
}

func (f *fleet) startEntry(bin, folder, profile string) error {
	file := filepath.Join(folder, "entry.toml")
	var addresses [2]string
	for i := range addresses {
		var err error
		if addresses[i], err = program.FreeAddress(); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("name = \"entry\"\nfailure-domain = \"fd\"\naddress = %q\npeer-address = %q\nstore-address = %q\n"+
		"vm-list-address = %q\nstop-timeout = \"5s\"\nlog-level = \"info\"\n", addresses[0], addresses[1], f.platform.Address, f.platform.Address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "measure-added")
	}
	arguments := []string{"run", "--settings", file}
	if profile != "" {
		arguments = append(arguments, "--profile", profile)
	}
	var err error
	f.entry, err = program.Start(bin, folder, "entry", "fulmarhitch", arguments...)
	return err
}

// submit submits the configuration and waits until the entry VM serves it.
func (f *fleet) submit() error {
	text := fmt.Sprintf("max-entry-vms = 1\naddress-lifetime = %q\ntenants = [\"division\"]\n\n[[failure-domain]]\nname = \"fd\"\n"+
		"region = \"r\"\n\n[[service]]\nname = %q\ntenant = \"division\"\nconnections = %d\n\n[[service.kind]]\nname = %q\n"+
		"class = \"short\"\nidempotent = true\nweight = 10\ntimeout = \"1s\"\n\n[[service.upstream]]\nname = \"lookups-1\"\n"+
		"address = %q\nfailure-domain = \"fd\"\nslots = %d\n", addressLifetime, serviceName, slots, kindName, f.upstream.Address, slots)
	var err error
	for range 40 {
		if err = f.post(text); err == nil {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	for range 40 {
		if _, err := f.get("/v1/addresses?service=" + serviceName); err == nil {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errors.CombineErrors(err, errors.New("measure-added: the entry VM isn't ready"))
}

func (f *fleet) post(text string) error {
	url := "http://" + f.entry.Address + "/v1/configuration?base=0&submission=added-1"
	res, err := http.Post(url, "text/plain", bytes.NewReader([]byte(text)))
	if err != nil {
		return errors.Wrap(err, "measure-added")
	}
	_, err = readBody(res)
	return err
}

func (f *fleet) get(path string) ([]byte, error) {
	res, err := http.Get("http://" + f.entry.Address + path)
	if err != nil {
		return nil, errors.Wrap(err, "measure-added")
	}
	return readBody(res)
}

// readBody returns the body of an answer, or an error unless its status is 200.
func readBody(res *http.Response) ([]byte, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, 8<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Newf("status %d: %s", res.StatusCode, body)
	}
	return body, errors.Wrap(err, "measure-added")
}

// stop shuts down the processes gracefully, so that the entry VM writes its profiles.
func (f *fleet) stop() {
	for _, p := range []*program.Program{f.entry, f.upstream, f.platform} {
		if p != nil {
			p.Stop(stopTimeout)
		}
	}
}
