package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/timeline"
)

type explainCommand struct {
	ID    string   `help:"Identifier of the request." name:"id" required:""`
	Files []string `arg:"" help:"Logs of VMs." type:"existingfile"`
}

// Run prints the lines of the request from all logs in order of time.
func (c *explainCommand) Run(out output) error {
	s := timeline.New(c.ID)
	for _, name := range c.Files {
		if err := readLog(s, name); err != nil {
			return withStatus(statusRefused, err)
		}
	}
	return s.Write(out.stdout)
}

func readLog(s *timeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer f.Close()
	return errors.Wrapf(s.Read(f), "explain %s", name)
}
