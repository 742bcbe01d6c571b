package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
	"github.com/fulmarhitch/fulmarhitch/standin/gatewayconfig"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

const (
	gatewayCount        = 4
	upstreamsPerService = 3
	// serviceTime is the time that an upstream takes for a request.
	serviceTime = 20 * time.Millisecond
	// callInterval is the time between two calls of one kind.
	callInterval = 10 * time.Millisecond
	// stopTimeout bounds the graceful shutdown of a gateway.
	stopTimeout = 6 * time.Second
	// registrationTime is the time that the gateways are given to register themselves.
	registrationTime = 2 * time.Second
)

type arguments struct {
	Duration time.Duration `default:"12s" help:"Time of the traffic."`
	Bin      string        `help:"Folder with the programs; the default is the demo's own."`
}

// demo holds the gateways and the stand-ins.
type demo struct {
	store              *standin.Store
	upstreams          []*standin.Upstream
	programs           []*program.Program
	directoryAddresses []string
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("demo-platform"), kong.Description("Run gateways against stand-ins for the platform."))
	ok, err := run(a)
	if err != nil {
		logrus.WithError(err).Error("demo failed")
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(a arguments) (bool, error) {
	bin, err := program.Folder(a.Bin)
	if err != nil {
		return false, err
	}
	a.Bin = bin
	folder, err := os.MkdirTemp("", "fulmarhitch-demo-platform-")
	if err != nil {
		return false, errors.Wrap(err, "demo")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &demo{store: standin.NewStore()}
	defer d.stop()
	if err := d.start(a.Bin, folder); err != nil {
		return false, err
	}
	time.Sleep(registrationTime)
	ctx, cancel := context.WithTimeout(context.Background(), a.Duration)
	defer cancel()
	go d.injectFaults(a.Duration)
	c := d.traffic(ctx)
	c.runTwice = d.countRepeated()
	fmt.Println(c)
	return c.passed(), nil
}

// start starts the stand-ins and the gateways.
func (d *demo) start(bin, folder string) error {
	address, err := d.store.Listen()
	if err != nil {
		return err
	}
	d.store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for _, service := range []string{"read", "write"} {
		for i := range upstreamsPerService {
			u, err := standin.NewUpstream(fmt.Sprintf("i-%s-%d", service, i), service, "zone-a")
			if err != nil {
				return errors.Wrap(err, "demo: upstream")
			}
			u.SetBehaviour(standin.Normal, serviceTime)
			d.upstreams = append(d.upstreams, u)
			d.store.Put(u.Key(), u.Entry("ready"))
		}
	}
	for i := range gatewayCount {
		if err := d.startGateway(bin, folder, fmt.Sprintf("vm-%d", i), address); err != nil {
			return err
		}
	}
	return nil
}

// startGateway writes the settings of one gateway and starts it.
func (d *demo) startGateway(bin, folder, name, store string) error {
	settings, err := gatewayconfig.New(folder, name, store, "")
	if err != nil {
		return err
	}
	d.directoryAddresses = append(d.directoryAddresses, settings.DirectoryAddress)
	p, err := program.Start(bin, folder, name, "fulmarhitch", "gateway", "--settings", settings.File)
	if err != nil {
		return err
	}
	d.programs = append(d.programs, p)
	return nil
}

// injectFaults kills a gateway, changes the configuration, drains an upstream and shuts down another gateway gracefully.
func (d *demo) injectFaults(duration time.Duration) {
	time.Sleep(duration / 6)
	d.programs[0].Kill()
	time.Sleep(duration / 6)
	d.store.Put(standin.ConfigurationKey, standin.Configuration(2, "/new/"))
	d.store.Put(d.upstreams[0].Key(), d.upstreams[0].Entry("draining"))
	time.Sleep(duration / 6)
	d.programs[1].Stop(stopTimeout)
}

// stop shuts down the gateways and closes the upstreams.
func (d *demo) stop() {
	var wg sync.WaitGroup
	for _, p := range d.programs {
		wg.Go(func() { p.Stop(stopTimeout) })
	}
	wg.Wait()
	for _, u := range d.upstreams {
		u.Close()
	}
}

// countRepeated returns the number of requests that ran more than once although they aren't idempotent: those of the
// service "write".
func (d *demo) countRepeated() int {
	counts := make(map[string]int)
	for _, u := range d.upstreams {
		for id, n := range u.Runs() {
			if u.Service == "write" {
				counts[id] += n
			}
		}
	}
	repeated := 0
	for _, n := range counts {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}
