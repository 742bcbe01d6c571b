package lab

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crashInstances, crashGateways = 6, 4
	// crashTarget is that of the crashing request and of the harmless ones.
	crashTarget = ClaimPrefix + "next-number"
	// crashes is the number of times that the crashing request comes, and crashInterval the time between two of them.
	crashes, crashInterval = 11, 6 * time.Second
	// harmlessPause is the time between two harmless requests of a consumer.
	harmlessPause = 200 * time.Millisecond
	// downtime is the time from the crash of an instance to the start of the next.
	downtime = 3 * time.Second
	// stableWindow is the time after the third crash from which arrivals count, and tolerated the number of them.
	stableWindow, tolerated = 3 * time.Second, 3
	// crashing is the header that makes instances crash, in requests of one consumer only.
	crashing = "X-Form"
)

// Crashes is a case in which a request crashes the instances that begin to run it, and comes again.
type Crashes struct {
	// Consumers is the number of consumers that send harmless requests for the same work.
	Consumers int
	// Headers returns further header lines of the crashing request.
	Headers func() string
	// Deadline is the time for which consumers wait.
	Deadline time.Duration
	// IsDark reports whether a crashed instance falls silent, as if its machine had lost power, in place of closing its port.
	IsDark bool

	*Lab
	mu   sync.Mutex
	runs []Run
	// crashed are the times of the crashes.
	crashed []time.Time
	started int
	restart sync.WaitGroup
}

// Run runs the case and returns the exit status of its script. It writes the record to the path.
func (d *Crashes) Run(record string) (status int, err error) {
	if d.Lab, err = New(record, crashInstances, crashGateways, d.add); err != nil {
		return CouldNot, err
	}
	defer d.Close()
	for _, i := range d.Instances {
		if i.Service == ClaimBook {
			i.IsDark = d.IsDark
			d.letCrash(i)
		}
	}
	var mu sync.Mutex
	var attempts []Attempt
	stop := make(chan struct{})
	var harmless sync.WaitGroup
	for k := range d.Consumers {
		harmless.Go(func() {
			c := &Consumer{Name: fmt.Sprintf("c%d", k), Directories: d.Directories(), Zone: Zone}
			defer c.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(harmlessPause):
				}
				a := c.Call(http.MethodPost, crashTarget, d.Deadline)
				c.Close()
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
			}
		})
	}
	for n := range crashes {
		time.Sleep(crashInterval)
		c := &Consumer{Name: fmt.Sprintf("crash%d", n), Directories: d.Directories(), Zone: Zone}
		c.Headers = crashing + ": 7\r\n" + d.Headers()
		a := c.Call(http.MethodPost, crashTarget, d.Deadline)
		c.Close()
		mu.Lock()
		attempts = append(attempts, a)
		mu.Unlock()
	}
	time.Sleep(time.Second)
	close(stop)
	harmless.Wait()
	d.restart.Wait()
	return d.check(attempts), nil
}

func (d *Crashes) add(r Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

// letCrash makes the instance crash as it begins to run the request. Another one starts in its place, under a new identifier.
func (d *Crashes) letCrash(i *Instance) {
	i.Crashes = func(r *http.Request) bool { return HasTrouble() && r.Header.Get(crashing) != "" }
	i.OnCrash = func() {
		d.mu.Lock()
		d.crashed = append(d.crashed, time.Now())
		d.started++
		next := &Instance{
			IsDark: i.IsDark,
			ID:     fmt.Sprintf("%s-again-%d", ClaimBook, d.started), Service: i.Service, Zone: i.Zone, Slots: i.Slots, Work: i.Work, OnRun: d.add,
		}
		d.mu.Unlock()
		d.Record.Add("%s crashes", i.ID)
		d.restart.Go(func() {
			time.Sleep(downtime)
			d.Store.Delete(i.Key())
			i.Close()
			d.letCrash(next)
			if err := StartInstance(next); err != nil {
				d.Record.Add("%s doesn't start: %v", next.ID, err)
				return
			}
			d.Store.Put(next.Key(), next.Entry("ready", 1))
			d.Record.Add("%s starts", next.ID)
		})
	}
}

// check writes what was sent, answered and run, and returns the exit status.
func (d *Crashes) check(attempts []Attempt) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Record.AddTraffic(attempts, d.runs)
	served, late, lost := 0, 0, 0
	hasRun := make(map[string]bool)
	for _, r := range d.runs {
		hasRun[r.ID] = true
	}
	sent := make(map[string]time.Time)
	for _, a := range attempts {
		sent[a.ID] = a.Sent
		switch {
		case a.Status == http.StatusOK:
			served++
		case hasRun[a.ID] && !strings.HasPrefix(a.ID, "crash"):
			lost++
			d.Record.AddAt(a.Sent, "LOST: %s was running on an instance that crashed", a.ID)
		}
	}
	for _, r := range d.runs {
		if len(d.crashed) >= 3 && strings.HasPrefix(r.ID, "crash") && sent[r.ID].After(d.crashed[2].Add(stableWindow)) {
			late++
			d.Record.AddAt(r.At, "BUDGET: %s reaches %s later than %s after the third crash", r.ID, r.Instance, stableWindow)
		}
	}
	d.Record.Add("%d requests sent, %d of them crashing ones; %d answered with 200; %d crashes; %d harmless ones lost with them; %d arrivals later than %s after the third crash",
		len(attempts), crashes, served, len(d.crashed), lost, late, stableWindow)
	fmt.Printf("%d crashes, %d harmless requests lost with them, %d arrivals later than %s after the third crash, %d allowed\n", len(d.crashed), lost, late, stableWindow, tolerated)
	switch {
	case late > tolerated:
		return Broken
	case served == 0:
		return CouldNot
	}
	return Held
}
