package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// Host is the host of the consumers' requests.
const Host = "registry.example"

// Zone is the zone of a lab.
const Zone = "lab-1"

// Services of a lab, with the prefixes of their routes.
const (
	ReadDesk, ReadPrefix   = "read-desk", "/record/"
	ClaimBook, ClaimPrefix = "claim-book", "/claim/"
)

// Exit statuses of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// HasTrouble reports whether the disruption is to take place.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Configuration returns the operator's configuration with a safe route to the read desk and an unsafe one to the claim book.
func Configuration(version int) []byte {
	route := func(name, routeType, prefix, service, target, timeout string) map[string]any {
		return map[string]any{
			"name": name, "routeType": routeType, "targetLatency": target, "priority": 1, "match": map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeout": timeout, "maxAttempts": 2},
		}
	}
	cluster := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": []any{map[string]any{"host": Host, names["rules"]: []any{
			route("record-read", "safe", ReadPrefix, ReadDesk, "400ms", "3000ms"),
			route("cultivar-claim", "unsafe", ClaimPrefix, ClaimBook, "500ms", "4000ms"),
		}}},
		"clusters": []any{cluster(ReadDesk), cluster(ClaimBook)},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Lab is a small deployment.
type Lab struct {
	Store     *standin.Store
	Instances []*Instance
	Gateways  []*Gateway
	Record    *Record
	folder    string
}

// maxStarts is the number of times that a lab is started: another process may take a port that was free a moment before.
const maxStarts = 3

// New starts a store, n instances of each service and so many gateways, and waits until these are ready. It writes the record to the
// path.
func New(record string, n, gateways int, onRun func(Run)) (l *Lab, err error) {
	for range maxStarts {
		l = &Lab{Store: standin.NewStore()}
		if err = l.start(record, n, gateways, onRun); err == nil {
			return l, nil
		}
		l.Close()
	}
	return nil, err
}

func (l *Lab) start(record string, n, gateways int, onRun func(Run)) (err error) {
	if l.Record, err = NewRecord(record); err != nil {
		return err
	}
	if l.folder, err = os.MkdirTemp("", "review-lab-"); err != nil {
		return err
	}
	l.Store.Put(standin.ConfigurationKey, Configuration(1))
	for _, service := range []string{ReadDesk, ClaimBook} {
		for k := range n {
			i := &Instance{ID: fmt.Sprintf("i-%s-%d", service, k+1), Service: service, Zone: Zone, Slots: 3, Work: work[service], OnRun: onRun}
			if err := StartInstance(i); err != nil {
				return err
			}
			l.Instances = append(l.Instances, i)
			l.Store.Put(i.Key(), i.Entry("ready", 1))
		}
	}
	if l.Gateways, err = NewGateways(gateways, Zone, l.folder, l.Store); err != nil {
		return err
	}
	for _, g := range l.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	if !AwaitReady(l.Gateways, readyTime) {
		return fmt.Errorf("not all gateways are ready after %s", readyTime)
	}
	return nil
}

// Directories returns the addresses for look-ups.
func (l *Lab) Directories() []string {
	var list []string
	for _, g := range l.Gateways {
		list = append(list, g.Directory)
	}
	return list
}

// Close ends all processes and stand-ins.
func (l *Lab) Close() {
	for _, g := range l.Gateways {
		g.Kill()
		_ = g.server.Close()
	}
	for _, i := range l.Instances {
		i.Close()
	}
	if l.Record != nil {
		l.Record.Close()
	}
	_ = os.RemoveAll(l.folder)
}

// readyTime is the time within which all gateways have to be ready.
const readyTime = 10 * time.Second

// work is the time of the work on a request by service.
var work = map[string]time.Duration{ReadDesk: 140 * time.Millisecond, ClaimBook: 180 * time.Millisecond}
