package kernel

import (
	"context"
	"sync"
)

// Duty is a service that is one goroutine.
type Duty struct {
	run    func(context.Context)
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// NewDuty returns a service that calls run once; run returns when its context is done.
func NewDuty(run func(context.Context)) *Duty {
	return &Duty{run: run}
}

// Start begins the duty.
func (d *Duty) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.ended.Go(func() { d.run(ctx) })
	return nil
}

// Stop ends the duty and waits for it.
func (d *Duty) Stop(context.Context) error {
	d.cancel()
	d.ended.Wait()
	return nil
}
