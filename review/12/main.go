// Command 12 puts a configuration with a large number of attempts in force and sends one request on its route to each gateway, while
// others are in progress.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
	"github.com/fulmarhitch/fulmarhitch/review/lab3"
)

const (
	gateways = 4
	// callers is the number of callers at each gateway, each with a connection that it keeps.
	callers = 8
	// workTime is the time that an instance takes for a request.
	workTime = 300 * time.Millisecond
	// noLimit is the number of attempts by which operators ask for no limit: the largest number of 32 bits.
	noLimit = 2147483647
	// configApply is the time within which a configuration is in force, and restartDelay that after which an ended process starts again.
	configApply  = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// allowed is the number of lost requests that the rule allows a machine.
	allowed  = 3
	duration = 10 * time.Second
)

func main() {
	os.Exit(run())
}

// lab holds what was run and answered.
type lab struct {
	record *lab3.Record

	mu sync.Mutex
	// ran holds the requests that an instance began to run, by identifier.
	ran map[string]bool
	// lost holds the requests of each gateway that were not answered, and ends counts the processes that ended by themselves.
	lost map[string][]string
	ends int
}

func run() int {
	folder, err := os.MkdirTemp("", "review-12-")
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
	l := &lab{record: record, ran: make(map[string]bool), lost: make(map[string][]string)}
	if err := l.play(os.Args[1], folder); err != nil {
		record.Printf("the case could not run: %v", err)
		return 2
	}
	return l.judge()
}

// configuration returns version 2, which adds the route /bulk/ with the number of attempts.
func configuration(attempts int) []byte {
	const usual, prefix = `"maxAttempts":2`, `"match":{"prefix":"/bulk/"}`
	text := string(standin.Configuration(2, "/bulk/"))
	before, after, _ := strings.Cut(text, prefix)
	i := strings.LastIndex(before, usual)
	return []byte(before[:i] + fmt.Sprintf(`"maxAttempts":%d`, attempts) + before[i+len(usual):] + prefix + after)
}

func (l *lab) play(program, folder string) error {
	store := standin.NewStore()
	address, err := store.Listen()
	if err != nil {
		return err
	}
	store.Put(standin.ConfigurationKey, standin.Configuration(1))
	for _, service := range []string{"read", "write"} {
		for i := range 12 {
			u, err := lab3.NewUpstream(store, fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("zone-%d", i%3), workTime)
			if err != nil {
				return err
			}
			u.Handle = func(a lab3.Arrival) bool {
				l.record.WriteAt(a.At, "request %s runs at %s", a.ID, a.Upstream)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.ran[a.ID] = true
				return true
			}
			if err := u.Start(); err != nil {
				return err
			}
		}
	}
	var all []*lab3.Gateway
	for i := range gateways {
		g, err := lab3.NewGateway(program, folder, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%3), address, "")
		if err != nil {
			return err
		}
		defer g.End()
		if err := g.Start(); err != nil {
			return err
		}
		all = append(all, g)
	}
	if err := lab3.AwaitReady(all, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	l.record.Printf("%d gateways are ready; the traffic begins", gateways)
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	for _, g := range all {
		for c := range callers {
			running.Go(func() { l.callOn(g, c, end) })
		}
	}
	time.Sleep(time.Second)
	attempts := noLimit
	if os.Getenv("TROUBLE") == "0" {
		attempts = 2
	}
	store.Put(standin.ConfigurationKey, configuration(attempts))
	l.record.Printf("version 2 is acknowledged; its new route /bulk/ allows %d attempts", attempts)
	time.Sleep(configApply + 500*time.Millisecond)
	for _, g := range all {
		l.sendBulk(g)
		time.Sleep(500 * time.Millisecond)
	}
	running.Wait()
	return nil
}

// callOn sends unsafe requests one after the other on a kept connection.
func (l *lab) callOn(g *lab3.Gateway, caller int, end time.Time) {
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d-%d", g.Name, caller, n)
		l.record.Writef("request %s sent to %s", id, g.Name)
		status, err := send(&client, g, http.MethodPost, id, "/write/x", strings.NewReader("transfer"))
		switch {
		case err == nil:
			l.record.Writef("request %s answered %d", id, status)
		case errors.Is(err, syscall.ECONNREFUSED):
			l.record.Writef("request %s could not be sent", id)
			time.Sleep(100 * time.Millisecond)
		default:
			l.record.Writef("request %s: the connection ended without an answer: %v", id, err)
			l.mu.Lock()
			l.lost[g.Name] = append(l.lost[g.Name], id)
			l.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends one request and returns the status of its answer.
func send(client *http.Client, g *lab3.Gateway, method, id, path string, body io.Reader) (int, error) {
	r, err := http.NewRequest(method, "http://"+g.Address+path, body)
	if err != nil {
		return 0, err
	}
	r.Host = standin.Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set(lab3.Name("deadline"), "2000")
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendBulk sends a request on the new route, and starts the process again if it ends, as the platform does.
func (l *lab) sendBulk(g *lab3.Gateway) {
	id := "bulk-" + g.Name
	l.record.Writef("request %s sent to %s", id, g.Name)
	status, err := send(&http.Client{Timeout: 3 * time.Second}, g, http.MethodGet, id, "/bulk/x", nil)
	if err != nil {
		l.record.Writef("request %s not answered: %v", id, err)
	} else {
		l.record.Writef("request %s answered %d", id, status)
	}
	ended, lasts := g.Ended(200 * time.Millisecond)
	if lasts {
		return
	}
	l.record.Printf("the process of %s ended by itself: %s", g.Name, describe(ended))
	for i, line := range g.Log("fatal error") {
		if i == 0 {
			l.record.Printf("its log: %s", line)
		}
	}
	l.mu.Lock()
	l.ends++
	l.mu.Unlock()
	time.Sleep(restartDelay)
	if err := g.Start(); err != nil {
		l.record.Printf("%s can't start again: %v", g.Name, err)
	}
}

func describe(err error) string {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.String()
	}
	return fmt.Sprint(err)
}

// judge returns the exit status.
func (l *lab) judge() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	isBroken := false
	for i := range gateways {
		name, n := fmt.Sprintf("vm-%d", i), 0
		for _, id := range l.lost[name] {
			if l.ran[id] {
				n++
			}
		}
		l.record.Printf("%s: %d unsafe requests were passed on to an instance and ended without an answer; %d are allowed", name, n, allowed)
		isBroken = isBroken || n > allowed
	}
	l.record.Printf("%d processes ended by themselves", l.ends)
	if isBroken {
		l.record.Printf("BROKEN: LOST")
		return 1
	}
	l.record.Printf("the rule held")
	return 0
}
