package main

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// pathRequests is the number of requests of playPath.
const pathRequests = 20

// playPath sends requests on a route with the prefix "/". With the trouble, their paths begin with an empty segment.
func playPath(d *deployment) (int, error) {
	err := d.start(standin.Configuration(1, "/"), map[string]int{"zone-a": 2}, map[string]int{"zone-a": 3}, &instance{service: "read"})
	if err != nil {
		return failed, err
	}
	status, ran := held, 0
	for n := range pathRequests {
		target, id := fmt.Sprintf("/names/%d/record?by=a", n), fmt.Sprintf("path-%d", n)
		if d.trouble {
			target = "/" + target
		}
		a := send("127.0.0.1", d.gateways[n%len(d.gateways)].front, http.MethodGet, target, id, "en")
		d.log.printf("sent %s: GET %s of host %s; answered %d %q", id, target, standin.Host, a.status, a.body)
		for _, r := range d.runsOf(id) {
			ran++
			d.log.printf("  run by %s as %s, which a server takes as path %s of host %s", r.instance, r.target, r.path, r.host)
			if r.target != target {
				status = broken
			}
		}
	}
	if ran == 0 {
		return failed, errors.New("no request was run")
	}
	return status, nil
}
