package main

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/finding"
)

type checkCommand struct {
	File string `arg:"" help:"Operators' file."`
}

// Run checks the file and prints one line for each finding.
func (c *checkCommand) Run(out output) error {
	text, err := readLimited(c.File)
	if err != nil {
		return withStatus(statusRefused, errors.Wrap(err, "check"))
	}
	if _, err = declaration.Parse(c.File, text); err == nil {
		return nil
	}
	findings := finding.Of(err)
	for _, f := range findings {
		_, _ = fmt.Fprintln(out.stdout, f)
	}
	return withStatus(statusRefused, errors.Newf("check: %s has %d findings", c.File, len(findings)))
}
