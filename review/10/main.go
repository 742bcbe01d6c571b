// Command 10 runs review case 10: the machine that watches the store is lost for good, and look-ups still name it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/review/lab"
)

const (
	instances, gateways, consumers = 3, 5, 8
	// settling is the time between the start and the loss, and duration that from then to the end.
	settling, duration = 8 * time.Second, 12 * time.Second
	// limit is stableWindow and 3 s, after which look-ups must not name a machine that was lost.
	limit = 3*time.Second + 3*time.Second
	// tolerated is the number of answers that may name it all the same.
	tolerated = 3
	// interval is the time between two look-ups at each directory.
	interval = 100 * time.Millisecond
	pause    = 300 * time.Millisecond
)

func main() {
	status, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

func run(record string) (int, error) {
	var mu sync.Mutex
	var runs []lab.Run
	l, err := lab.New(record, instances, gateways, func(r lab.Run) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, r)
	})
	if err != nil {
		return lab.CouldNot, err
	}
	defer l.Close()
	time.Sleep(settling)
	lost := watcher(l)
	if lost == nil {
		return lab.CouldNot, fmt.Errorf("no gateway watches the store")
	}
	if lab.HasTrouble() {
		// Its entry in the store lasts longest after a renewal of its lease.
		for n := lost.Renewals(); lost.Renewals() == n; {
			time.Sleep(10 * time.Millisecond)
		}
		lost.Kill()
		l.Record.Add("%s, which watches the store, is killed and doesn't start again; its address was %s", lost.Name, lost.Address)
	}
	lostAt := time.Now()
	end := lostAt.Add(duration)
	var all sync.WaitGroup
	var attempts []lab.Attempt
	statuses, failures := make(map[int]int), 0
	for k := range consumers {
		all.Go(func() {
			c := &lab.Consumer{Name: fmt.Sprintf("c%d", k), Directories: directories(l, lost), Zone: lab.Zone}
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				a := c.Call(http.MethodGet, fmt.Sprintf("%s%d-%d", lab.ReadPrefix, k, n), 3*time.Second)
				mu.Lock()
				attempts = append(attempts, a)
				if statuses[a.Status]++; a.Err != nil {
					failures++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	late, answers := 0, 0
	for _, g := range l.Gateways {
		if g == lost {
			continue
		}
		all.Go(func() {
			for time.Now().Before(end) {
				addresses, _, err := lab.Resolve(g.Directory, lab.Zone)
				now := time.Now()
				mu.Lock()
				if err == nil {
					answers++
				}
				if err == nil && lost.HasEnded() && slices.Contains(addresses, lost.Address) {
					l.Record.AddAt(now, "%s names %s, lost %.1f s before", g.Name, lost.Name, now.Sub(lostAt).Seconds())
					if now.Sub(lostAt) > limit {
						late++
					}
				}
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	all.Wait()
	l.Record.AddTraffic(attempts, runs)
	l.Record.Add("requests by status %v, %d without an answer; %d look-ups answered; %d named the lost machine later than %s", statuses, failures, answers, late, limit)
	fmt.Printf("%d look-ups answered, %d named the lost machine later than %s\n", answers, late, limit)
	switch {
	case answers == 0:
		return lab.CouldNot, nil
	case late > tolerated:
		return lab.Broken, nil
	}
	return lab.Held, nil
}

// watcher returns the gateway that watches the store at present.
func watcher(l *lab.Lab) *lab.Gateway {
	before := make(map[*lab.Gateway]int64)
	for _, g := range l.Gateways {
		before[g] = g.Watches()
	}
	time.Sleep(2 * time.Second)
	var most *lab.Gateway
	for _, g := range l.Gateways {
		l.Record.Add("%s has watched the store %d times in 2 s", g.Name, g.Watches()-before[g])
		if g.Watches() > before[g] && (most == nil || g.Watches()-before[g] > most.Watches()-before[most]) {
			most = g
		}
	}
	return most
}

// directories returns the look-up addresses of the other gateways.
func directories(l *lab.Lab, lost *lab.Gateway) []string {
	return slices.DeleteFunc(l.Directories(), func(d string) bool { return d == lost.Directory })
}
