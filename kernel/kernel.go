package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is a part of a process with a life of its own.
type Service interface {
	// Start begins the service's duties and returns once they run.
	Start(ctx context.Context) error
	// Stop ends the duties and waits for them until ctx is done.
	Stop(ctx context.Context) error
}

// Kernel is the registry of a process's services. Register all services before Start.
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

// Register adds a service under a name; it panics if the name is taken.
func (k *Kernel) Register(name string, s Service) {
	if _, taken := k.services[name]; taken {
		panic("kernel: service name " + name + " is taken")
	}
	k.names = append(k.names, name)
	k.services[name] = s
}

// Lookup returns the service of type T under the name, or an error that names what was expected.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, errors.Newf("kernel: no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, errors.Newf("kernel: service %q has type %T, not %T", name, s, none)
	}
	return t, nil
}

// Start starts the services in the order of their registration and then waits for Stop or the end of ctx,
// as kratos expects of a server. If a service fails to start, those before it are stopped again.
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

// Launch starts the services and returns once they run, or with the error of the one that failed; Stop ends them.
func (k *Kernel) Launch(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- k.Start(ctx) }()
	select {
	case <-k.running:
		return nil
	case err := <-ended:
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
	var all error
	for ; k.started > 0; k.started-- {
		name := k.names[k.started-1]
		if err := k.services[name].Stop(ctx); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "kernel: stop %s", name))
		}
	}
	return all
}
