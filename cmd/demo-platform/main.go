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
	"github.com/fulmarhitch/fulmarhitch/standin/placement"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

const (
	// gateways is the number of gateways, and upstreams that of each service's upstreams.
	gateways  = 4
	upstreams = 3
	// work is the time of a request at an upstream.
	work = 20 * time.Millisecond
	// pause is the time between two calls of one kind.
	pause = 10 * time.Millisecond
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// startTime is the time in which the gateways register themselves.
	startTime = 2 * time.Second
)

type arguments struct {
	Duration time.Duration `default:"12s" help:"Time of the traffic."`
	Bin      string        `help:"Folder with the programs; the default is the demo's own."`
}

// demo is the fleet with its stand-ins.
type demo struct {
	store       *standin.Store
	upstreams   []*standin.Upstream
	programs    []*program.Program
	directories []string
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("demo-platform"), kong.Description("Run gateways against stand-ins of the platform."))
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
	time.Sleep(startTime)
	ctx, cancel := context.WithTimeout(context.Background(), a.Duration)
	defer cancel()
	go d.disturb(a.Duration)
	c := d.traffic(ctx)
	c.runTwice = d.runTwice()
	fmt.Println(c)
	return c.isGood(), nil
}

// start starts the stand-ins and the gateways.
func (d *demo) start(bin, folder string) error {
	address, err := d.store.Listen()
	if err != nil {
		return err
	}
	d.store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for _, service := range []string{"read", "write"} {
		for i := range upstreams {
			u, err := standin.NewUpstream(fmt.Sprintf("i-%s-%d", service, i), service, "zone-a")
			if err != nil {
				return errors.Wrap(err, "demo: upstream")
			}
			u.Set(standin.Sound, work)
			d.upstreams = append(d.upstreams, u)
			d.store.Put(u.Key(), u.Entry("ready"))
		}
	}
	for i := range gateways {
		if err := d.startGateway(bin, folder, fmt.Sprintf("vm-%d", i), address); err != nil {
			return err
		}
	}
	return nil
}

// startGateway starts one gateway with settings of its own.
func (d *demo) startGateway(bin, folder, name, store string) error {
	at, err := placement.New(folder, name, store, "")
	if err != nil {
		return err
	}
	d.directories = append(d.directories, at.DirectoryAddress)
	p, err := program.Start(bin, folder, name, "fulmarhitch", "gateway", "--settings", at.File)
	if err != nil {
		return err
	}
	d.programs = append(d.programs, p)
	return nil
}

// disturb kills a gateway, stops another one as planned, lets an upstream drain and changes the configuration.
func (d *demo) disturb(duration time.Duration) {
	time.Sleep(duration / 6)
	d.programs[0].Kill()
	time.Sleep(duration / 6)
	d.store.Put(standin.ConfigurationKey, standin.Configuration(2, "/new/"))
	d.store.Put(d.upstreams[0].Key(), d.upstreams[0].Entry("draining"))
	time.Sleep(duration / 6)
	d.programs[1].Stop(stopTimeout)
}

// stop ends what start started.
func (d *demo) stop() {
	var all sync.WaitGroup
	for _, p := range d.programs {
		all.Go(func() { p.Stop(stopTimeout) })
	}
	all.Wait()
	for _, u := range d.upstreams {
		u.Close()
	}
}

// runTwice returns the number of requests that ran more than once and may not: those of the service "write".
func (d *demo) runTwice() int {
	counts := make(map[string]int)
	for _, u := range d.upstreams {
		for id, n := range u.Runs() {
			if u.Service == "write" {
				counts[id] += n
			}
		}
	}
	twice := 0
	for _, n := range counts {
		if n > 1 {
			twice++
		}
	}
	return twice
}
