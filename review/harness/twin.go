package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

const (
	twinCount    = 14
	twinInterval = 6 * time.Second
	twinPath     = "/write/next"
	// faultyLanguage is the header value, sent by one caller only, on which instances crash.
	faultyLanguage = "xx-faulty"
	faultyCaller   = "127.0.3.1"
)

// playTwin lets one caller send a request again and again that crashes each instance that begins to run it, while other callers send
// harmless ones with the same path and body.
func playTwin(d *deployment) (int, error) {
	model := &instance{
		service: "write", newID: true,
		crashes: func(r *http.Request) bool { return d.trouble && r.Header.Get("Accept-Language") == faultyLanguage },
	}
	gateways, instances := map[string]int{"zone-a": 3, "zone-b": 5, "zone-c": 6}, map[string]int{"zone-a": 1, "zone-b": 2, "zone-c": 3}
	if err := d.start(standin.Configuration(1), gateways, instances, model); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	go d.usualTraffic(stop, twinPath)
	var ids []string
	for n := range twinCount {
		if n > 0 {
			time.Sleep(twinInterval)
		}
		g, id := d.gateways[rand.IntN(len(d.gateways))], fmt.Sprintf("poison-%d", n)
		a := send(faultyCaller, g.front, http.MethodPut, twinPath, id, faultyLanguage)
		d.log.printf("sent PUT %s as %s from %s to %s; answered %d %q", twinPath, id, faultyCaller, g.name, a.status, a.body)
		ids = append(ids, id)
	}
	close(stop)
	time.Sleep(downtime)
	return d.judgePoison(ids), nil
}
