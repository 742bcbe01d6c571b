package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/story"
)

type explainCommand struct {
	ID    string   `help:"Identifier of the request." name:"id" required:""`
	Files []string `arg:"" help:"Logs of VMs." type:"existingfile"`
}

// Run prints what the logs tell of the request.
func (c *explainCommand) Run(out output) error {
	s := story.New(c.ID)
	for _, name := range c.Files {
		if err := readLog(s, name); err != nil {
			return fail(refused, err)
		}
	}
	return s.Write(out.stdout)
}

func readLog(s *story.Story, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer f.Close()
	return errors.Wrapf(s.Read(f), "explain %s", name)
}
