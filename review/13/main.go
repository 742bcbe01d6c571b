// Command 13 sends a request that crashes upstreams, each time with another value of one header, and counts how often it reaches them.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
	"github.com/fulmarhitch/fulmarhitch/review/lab3"
)

const (
	upstreams = 12
	// downTime is the time after which a crashed upstream is back.
	downTime = 2500 * time.Millisecond
	// repeatEvery is the time between two attempts of the caller of the crashing request.
	repeatEvery = 700 * time.Millisecond
	// stableWindow and allowed are the figures of the rule.
	stableWindow = 3 * time.Second
	allowed      = 3
	duration     = 20 * time.Second
	poison       = "/read/poison"
)

func main() {
	os.Exit(run())
}

type lab struct {
	record  *lab3.Record
	crashes bool

	mu       sync.Mutex
	arrivals []lab3.Arrival
}

func run() int {
	folder, err := os.MkdirTemp("", "review-13-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := lab3.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	l := &lab{record: record, crashes: os.Getenv("TROUBLE") != "0"}
	if err := l.play(os.Args[1], folder); err != nil {
		record.Printf("the case could not run: %v", err)
		return 2
	}
	return l.judge()
}

func (l *lab) play(program, folder string) error {
	store := standin.NewStore()
	address, err := store.Listen()
	if err != nil {
		return err
	}
	store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for i := range upstreams {
		u, err := lab3.NewUpstream(store, fmt.Sprintf("i-read-%d", i), "read", fmt.Sprintf("zone-%d", i%3), 20*time.Millisecond)
		if err != nil {
			return err
		}
		u.Handle = func(a lab3.Arrival) bool { return l.handle(u, a) }
		if err := u.Start(); err != nil {
			return err
		}
	}
	var gateways []*lab3.Gateway
	for i := range 6 {
		g, err := lab3.NewGateway(program, folder, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%3), address, "")
		if err != nil {
			return err
		}
		defer g.End()
		if err := g.Start(); err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	if err := lab3.AwaitReady(gateways, 15*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	l.record.Printf("%d gateways are ready; the traffic begins", len(gateways))
	end := time.Now().Add(duration)
	var all sync.WaitGroup
	var sent, failed atomic.Int64
	for _, g := range gateways {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sent.Add(1)
				id := fmt.Sprintf("%s-%d", g.Name, n)
				l.record.Writef("request %s sent to %s", id, g.Name)
				status := l.call(g, id, "/read/ordinary", "")
				l.record.Writef("request %s answered %d", id, status)
				if status != http.StatusOK {
					failed.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		g := gateways[n%len(gateways)]
		id := fmt.Sprintf("poison-%d", n)
		clientTime := fmt.Sprint(time.Now().UnixMilli())
		if os.Getenv("SAME") != "" {
			clientTime = "1"
		}
		l.record.Writef("request %s sent to %s with X-Client-Time %s", id, g.Name, clientTime)
		status := l.call(g, id, poison, clientTime)
		l.record.Writef("request %s answered %d", id, status)
		time.Sleep(repeatEvery)
	}
	all.Wait()
	l.record.Printf("%d ordinary requests sent, %d not answered with success", sent.Load(), failed.Load())
	for _, g := range gateways {
		for _, line := range g.Log("request is in quarantine") {
			l.record.Writef("log of %s: %s", g.Name, line)
		}
	}
	return nil
}

// call sends one attempt and returns its status, or 0 if there was no answer.
func (l *lab) call(g *lab3.Gateway, id, path, clientTime string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.Address+path, nil)
	if err != nil {
		return 0
	}
	r.Host = standin.Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set(lab3.Name("deadline"), "3000")
	if clientTime != "" {
		r.Header.Set("X-Client-Time", clientTime)
	}
	client := http.Client{Timeout: 4 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// handle records an arrival and reports whether the upstream survives it.
func (l *lab) handle(u *lab3.Upstream, a lab3.Arrival) bool {
	l.record.WriteAt(a.At, "request %s begins to run at %s", a.ID, u.ID)
	if !strings.HasPrefix(a.Path, poison) {
		return true
	}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
	if !l.crashes {
		return true
	}
	l.record.Writef("%s crashes", u.ID)
	time.AfterFunc(downTime, func() {
		if err := u.Start(); err != nil {
			l.record.Writef("%s can't start again: %v", u.ID, err)
			return
		}
		l.record.Writef("%s is back", u.ID)
	})
	return false
}

// judge returns the exit status.
func (l *lab) judge() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	if l.crashes && len(l.arrivals) >= 3 {
		third := l.arrivals[2].At
		for _, a := range l.arrivals {
			if a.At.Sub(third) > stableWindow {
				late++
			}
		}
	}
	l.record.Printf("the request reached upstreams %d times, %d of them later than %s after its third crash; %d are allowed", len(l.arrivals), late, stableWindow, allowed)
	if late > allowed {
		l.record.Printf("BROKEN: BUDGET")
		return 1
	}
	l.record.Printf("the rule held, see %s", filepath.Base(os.Args[2]))
	return 0
}
