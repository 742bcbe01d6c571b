package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is a component of a process that is started and stopped.
type Service interface {
	// Start starts the service's goroutines and returns once they run.
	Start(ctx context.Context) error
	// Stop stops the goroutines and waits for them until ctx is done.
	Stop(ctx context.Context) error
}

// Kernel is the registry of a process's services. All services must be registered before Start.
type Kernel struct {
	names    []string
	services map[string]Service
	running  chan struct{}
	stopped  chan struct{}

	mu      sync.Mutex
	started int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service), running: make(chan struct{}), stopped: make(chan struct{})}
}

// Register adds a service under a name; it panics if the name is already registered.
func (k *Kernel) Register(name string, s Service) {
	if _, exists := k.services[name]; exists {
		panic("kernel: service " + name + " is already registered")
	}
	k.names = append(k.names, name)
	k.services[name] = s
}

// Lookup returns the service registered under the name, or an error if there is none or its type is not T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errors.Newf("kernel: no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("kernel: service %q has type %T, not %T", name, s, zero)
	}
	return t, nil
}

// Start starts the services in the order of their registration and then waits until Stop is called or ctx is done,
// as kratos expects of a server. If a service fails to start, Start stops those already started and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.startAll(ctx); err != nil {
		return err
	}
	close(k.running)
	select {
	case <-ctx.Done():
	case <-k.stopped:
	}
	return nil
}

func (k *Kernel) startAll(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "kernel: start %s", name), k.stopStarted(ctx))
		}
		k.started++
	}
	return nil
}

// Launch starts the services and returns once they run, or with the error of the one that failed; Stop stops them.
func (k *Kernel) Launch(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- k.Start(ctx) }()
	select {
	case <-k.running:
		return nil
	case err := <-done:
		return err
	}
}

// Running returns a channel that is closed once all services have started.
func (k *Kernel) Running() <-chan struct{} {
	return k.running
}

// Stop stops the started services in reverse order and returns all errors combined; call it once.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(k.stopped)
	return k.stopStarted(ctx)
}

func (k *Kernel) stopStarted(ctx context.Context) error {
	var combined error
	for ; k.started > 0; k.started-- {
		name := k.names[k.started-1]
		if err := k.services[name].Stop(ctx); err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "kernel: stop %s", name))
		}
	}
	return combined
}
