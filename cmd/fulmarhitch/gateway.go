package main

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/gateway"
	"github.com/fulmarhitch/fulmarhitch/platform"
)

type gatewayCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

// Run runs a gateway until it is told to stop.
func (c *gatewayCommand) Run(out output) error {
	s, err := c.read()
	if err != nil {
		return withStatus(statusRefused, err)
	}
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
