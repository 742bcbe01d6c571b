package main

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/settings"
)

type runCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
	Profile  string `help:"File for a processor profile of the whole run; the allocations go to the file with .allocs added." type:"path"`
}

// Run runs the process of an entry VM until it is told to stop.
func (c *runCommand) Run() error {
	text, err := readLimited(c.Settings)
	if err != nil {
		return withStatus(statusRefused, errors.Wrap(err, "run"))
	}
	s, err := settings.Parse(c.Settings, text)
	if err != nil {
		return withStatus(statusRefused, err)
	}
	if c.Profile == "" {
		return runEntry(s)
	}
	stopProfile, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	return errors.CombineErrors(runEntry(s), stopProfile())
}
