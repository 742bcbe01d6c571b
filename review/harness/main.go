package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// startTimeout is the time within which the gateways have to serve requests.
const startTimeout = 20 * time.Second

// deployment is the deployment of a case.
type deployment struct {
	folder    string
	log       *record
	store     *standin.Store
	storeAddr string
	gateways  []*gateway
	instances []*instance
	caller    *standin.Caller
	// trouble reports whether the case has its disruption.
	trouble bool
}

// cases holds the cases by name.
var cases = map[string]func(*deployment) (int, error){
	"path":   playPath,
	"poison": playPoison,
	"twin":   playTwin,
}

func main() {
	os.Exit(play())
}

// play plays the case that the first argument names, and writes its record to the file that the second one names.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return failed
	}
	status, err := playCase(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return status
}

// playCase plays a case and ends all processes that it started.
func playCase(name, recordFile string) (status int, err error) {
	log, err := newRecord(recordFile)
	if err != nil {
		return failed, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return failed, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &deployment{folder: folder, log: log, store: standin.NewStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, g := range d.gateways {
			g.kill()
		}
	}()
	if d.storeAddr, err = d.store.Listen(); err != nil {
		return failed, err
	}
	log.printf("disruption: %v", d.trouble)
	status, err = cases[name](d)
	if err != nil {
		log.printf("the case could not run: %v", err)
		return failed, err
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[status]
	log.printf("%s", verdict)
	fmt.Println(verdict)
	return status, nil
}

// start starts the gateways and the instances of a service, of which each zone has the given numbers, and waits until all gateways
// serve requests. The instances are copies of the model.
func (d *deployment) start(configuration []byte, gateways, instances map[string]int, model *instance) error {
	for zone, n := range instances {
		for k := range n {
			i := &instance{
				name: fmt.Sprintf("i-%s-%d", zone, k+1), zone: zone, service: model.service, crashes: model.crashes, newID: model.newID,
				store: d.store, log: d.log,
			}
			if err := i.begin(""); err != nil {
				return err
			}
			d.instances = append(d.instances, i)
		}
	}
	d.store.Put(standin.ConfigurationKey, configuration)
	var seeds, directories []string
	for zone, n := range gateways {
		for k := range n {
			g, err := newGateway(d.folder, fmt.Sprintf("front-%s-%d", zone, k+1), zone, d.storeAddr, seeds)
			if err != nil {
				return err
			}
			if len(seeds) < 3 {
				seeds = append(seeds, g.ip+":8649")
			}
			d.gateways, directories = append(d.gateways, g), append(directories, g.directory)
		}
	}
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	d.caller = standin.NewCaller(directories)
	return d.awaitService(model.service)
}

// awaitService waits until each gateway answers requests for the service.
func (d *deployment) awaitService(service string) error {
	end := time.Now().Add(startTimeout)
	for _, g := range d.gateways {
		for {
			a := d.caller.CallAt(context.Background(), g.front, http.MethodPut, "/"+service+"/start", "start")
			if a.Status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s did not serve requests within %s", g.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.log.printf("%d gateways serve requests", len(d.gateways))
	// The list of gateways is complete some seconds after the start.
	time.Sleep(3 * time.Second)
	return nil
}

// runsOf returns the runs of the request with the identifier.
func (d *deployment) runsOf(id string) []run {
	var list []run
	for _, i := range d.instances {
		list = append(list, i.runsOf(id)...)
	}
	return list
}
