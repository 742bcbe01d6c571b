package main

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/gateway"
	"github.com/fulmarhitch/fulmarhitch/platform"
)

// heapShare is the share of a gateway's memory near which its garbage collector works as often as needed. The rest is for the program
// itself and for what is taken between two collections.
const heapShare = 0.75

type gatewayCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

// Run runs a gateway until it is told to stop.
func (c *gatewayCommand) Run(out output) error {
	s, err := c.read()
	if err != nil {
		return withStatus(statusRefused, err)
	}
	debug.SetMemoryLimit(int64(float64(s.Memory) * heapShare * (1 << 20)))
	store := platform.New(s.StoreAddress)
	defer store.Close()
	g, err := gateway.New(s, gateway.Config{
		Store: store, Decode: platform.Decode, CallerDialect: platform.CallerDialect(), UpstreamDialect: platform.UpstreamDialect(), Directory: platform.DirectoryHandler,
		Readiness: platform.ReadinessHandler, Reload: c.read, Output: out.stdout,
	})
	if err != nil {
		return err
	}
	return g.Run()
}

// read reads and parses the current settings file.
func (c *gatewayCommand) read() (*gateway.Settings, error) {
	text, err := readLimited(c.Settings)
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	return gateway.ParseSettings(c.Settings, text)
}
