package kernel

import (
	"context"
	"sync"
)

// Worker is a Service that runs one goroutine.
type Worker struct {
	run    func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewWorker returns a service that calls run once in its own goroutine; run must return when its context is done.
func NewWorker(run func(context.Context)) *Worker {
	return &Worker{run: run}
}

// Start starts the goroutine.
func (w *Worker) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.run(ctx) })
	return nil
}

// Stop cancels the context of the goroutine and waits until it has ended.
func (w *Worker) Stop(context.Context) error {
	w.cancel()
	w.wg.Wait()
	return nil
}
