package kernel

import (
	"context"
	"sync"
)

// Duty is a Service that runs one goroutine.
type Duty struct {
	run    func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewDuty returns a service that calls run once in its own goroutine; run must return when its context is done.
func NewDuty(run func(context.Context)) *Duty {
	return &Duty{run: run}
}

// Start starts the goroutine.
func (d *Duty) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { d.run(ctx) })
	return nil
}

// Stop cancels the context of the goroutine and waits until it has ended.
func (d *Duty) Stop(context.Context) error {
	d.cancel()
	d.wg.Wait()
	return nil
}
