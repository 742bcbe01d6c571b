package main

import (
	"context"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

const (
	// stableWindow is the bound of that name, and maxLateRetries the number of retries that the rule allows after it.
	stableWindow   = 3 * time.Second
	maxLateRetries = 3
	// poisonCount is the number of arrivals of the request that crashes its instances, and poisonInterval the time between two.
	poisonCount    = 9
	poisonInterval = 10 * time.Second
	poisonPath     = "/write/poison"
	// usualInterval is the time between two harmless requests.
	usualInterval = 100 * time.Millisecond
)

// playPoison lets a caller of the zone with one instance send a request again and again that crashes each instance that begins to
// run it. Instances start again under the identifiers that they had, or under new ones if NEW_ID is 1.
func playPoison(d *deployment) (int, error) {
	model := &instance{
		service: "write", newID: os.Getenv("NEW_ID") == "1",
		crashes: func(r *http.Request) bool { return d.trouble && r.URL.Path == poisonPath },
	}
	gateways, instances := map[string]int{"zone-a": 3, "zone-b": 5, "zone-c": 6}, map[string]int{"zone-a": 1, "zone-b": 2, "zone-c": 3}
	if err := d.start(standin.Configuration(1), gateways, instances, model); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	go d.usualTraffic(stop, "/write/usual")
	var ids []string
	for n := range poisonCount {
		if n > 0 {
			time.Sleep(poisonInterval)
		}
		// The stand-in of callers looks up the addresses for zone-a and repeats what was refused as not run.
		a := d.caller.Call(context.Background(), http.MethodPut, poisonPath, "body")
		d.log.printf("sent PUT %s as %s; answered %v, last %q", poisonPath, strings.Join(a.IDs, ", "), a.Statuses, strings.TrimSpace(a.Body))
		ids = append(ids, a.IDs...)
	}
	close(stop)
	time.Sleep(downtime)
	return d.judgePoison(ids), nil
}

// usualTraffic sends harmless requests to all gateways in turn until stop is closed.
func (d *deployment) usualTraffic(stop chan struct{}, path string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(usualInterval):
		}
		go func() {
			a := d.caller.CallAt(context.Background(), d.gateways[n%len(d.gateways)].front, http.MethodPut, path, "")
			if a.Status != http.StatusOK {
				d.log.printf("harmless %s: answered %d %q", a.IDs[0], a.Status, strings.TrimSpace(a.Body))
			}
		}()
	}
}

// judgePoison counts the requests with the identifiers that reached instances later than stableWindow after the third crash.
func (d *deployment) judgePoison(ids []string) int {
	var runs []run
	for _, id := range ids {
		runs = append(runs, d.runsOf(id)...)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	var third time.Time
	crashes, late := 0, 0
	for _, r := range runs {
		if crashes >= 3 && r.at.After(third.Add(stableWindow)) {
			late++
		}
		if !r.crashed {
			continue
		}
		if crashes++; crashes == 3 {
			third = r.at
		}
	}
	d.log.printf("the request reached instances %d times and crashed %d; %d arrivals were later than %s after the third crash, allowed are %d",
		len(runs), crashes, late, stableWindow, maxLateRetries)
	if late > maxLateRetries {
		return broken
	}
	return held
}
