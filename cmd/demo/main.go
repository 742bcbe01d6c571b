package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

type arguments struct {
	Duration time.Duration `default:"20s" help:"Time of the traffic."`
	Bin      string        `help:"Folder with the programs; the default is the demo's own."`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("demo"), kong.Description("Run the complete system with a killed entry VM and a draining upstream."))
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	ok, err := run(a, log)
	if err != nil {
		log.WithError(err).Error("demo failed")
		os.Exit(1)
	}
	if !ok {
		os.Exit(1)
	}
}

func run(a arguments, log *logrus.Logger) (bool, error) {
	bin, err := program.Folder(a.Bin)
	if err != nil {
		return false, err
	}
	a.Bin = bin
	folder, err := os.MkdirTemp("", "fulmarhitch-demo-")
	if err != nil {
		return false, errors.Wrap(err, "demo")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := newFleet(a.Bin, folder)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	log.WithFields(logrus.Fields{"entry-vms": len(f.entries), "services": len(services)}).Info("all processes are running")
	t := newTraffic()
	if err := t.runScenario(f, a.Duration, log); err != nil {
		return false, err
	}
	return t.report(f)
}

// runScenario sends traffic for the duration. Meanwhile it kills an entry VM, drains an upstream and shuts down another
// entry VM gracefully.
func (t *traffic) runScenario(f *fleet, duration time.Duration, log *logrus.Logger) error {
	var entries []string
	for _, p := range f.entries {
		entries = append(entries, p.Address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range services {
		c := caller.New(caller.Config{Entries: entries})
		defer c.Close()
		wg.Go(func() { t.run(ctx, c, s) })
	}
	time.Sleep(duration / 3)
	log.WithField("entry-vm", f.entries[1].Name).Info("killing an entry VM")
	f.entries[1].Kill()
	time.Sleep(duration / 6)
	drained := f.upstreams["lookups"][0]
	log.WithField("upstream", drained.Name).Info("draining an upstream")
	err := send(http.MethodPost, "http://"+drained.Address+"/control/drain", nil)
	time.Sleep(duration / 10)
	log.WithField("entry-vm", f.entries[2].Name).Info("shutting down an entry VM gracefully")
	f.entries[2].Stop(duration)
	wg.Wait()
	return err
}

// report prints the counts and reports whether the demo passed.
func (t *traffic) report(f *fleet) (bool, error) {
	repeated, err := t.countRepeated(f)
	if err != nil {
		return false, err
	}
	c := t.counts
	ok := repeated == 0 && c.mismatched == 0
	for _, s := range services {
		if c.byKind[s.kind] == 0 {
			fmt.Printf("no request of kind %s was answered\n", s.kind)
			ok = false
		}
	}
	if len(c.reasons) > 0 {
		fmt.Printf("reasons: %v\n", c.reasons)
	}
	fmt.Printf("sent=%d answered=%d not-run=%d unknown=%d run-twice=%d mismatched=%d\n",
		c.sent, c.answered, c.notRun, c.unknown, repeated, c.mismatched)
	return ok, nil
}
