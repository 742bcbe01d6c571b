package main

import (
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
)

// startProfile starts a CPU profile in the named file. The returned function stops it and writes the allocations since the
// start of the process to the file with .allocs appended to its name.
func startProfile(name string) (stop func() error, err error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "profile"), f.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		if err := f.Close(); err != nil {
			return errors.Wrap(err, "profile")
		}
		allocs, err := os.Create(name + ".allocs")
		if err != nil {
			return errors.Wrap(err, "profile")
		}
		return errors.CombineErrors(errors.Wrap(pprof.Lookup("allocs").WriteTo(allocs, 0), "profile"), allocs.Close())
	}, nil
}
