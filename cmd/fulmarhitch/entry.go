package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/entry"
	"github.com/fulmarhitch/fulmarhitch/gctune"
	"github.com/fulmarhitch/fulmarhitch/settings"
)

// heapGoal is the heap size in bytes below which the heap may more than double between collections. It leaves most of the
// 128 MB that a node has for the control plane to live objects and stacks.
const heapGoal = 48 << 20

// runEntry runs the services of an entry VM until it is told to stop. It logs JSON lines to standard error.
func runEntry(s *settings.Settings) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return withStatus(statusRefused, err)
	}
	log.SetLevel(level)
	e, err := entry.New(s, log.WithFields(logrus.Fields{"vm": s.Name, "failure-domain": s.FailureDomain}))
	if err != nil {
		return err
	}
	defer gctune.New(heapGoal).Stop()
	return e.Run()
}
