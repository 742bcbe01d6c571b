package main

import (
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/measure"
)

// arguments holds the command's flags.
type arguments struct {
	Seeds     int      `default:"3" help:"Number of seeds; they are 1, 2, and so on."`
	Service   []string `help:"Measure these services only."`
	Situation []string `help:"Measure these situations only."`
	Policy    []string `help:"Measure these policies only, in addition to both bounds."`
	Cores     int      `default:"4" help:"Number of runs at the same time."`
	Lines     string   `help:"Write JSON lines to this file, or to standard output instead of the table if it is -."`
}

func main() {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	var a arguments
	kong.Parse(&a, kong.Description("Measure policies against a central queue with complete information in virtual time."))
	if err := run(&a, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("measurement failed")
	}
}

func run(a *arguments, out io.Writer) error {
	if a.Seeds < 1 {
		return errors.Newf("measure: --seeds is %d, expected at least 1", a.Seeds)
	}
	plan := measure.Plan{MaxConcurrentRuns: a.Cores}
	for i := range a.Seeds {
		plan.Seeds = append(plan.Seeds, uint64(i+1))
	}
	bounds := []string{measure.Bound, measure.BoundNetwork}
	var err error
	if plan.Services, err = selectNamed("service", a.Service, nil, measure.Services(), func(s measure.Service) string { return s.Name }); err != nil {
		return err
	}
	if plan.Situations, err = selectNamed("situation", a.Situation, nil, measure.Situations(), func(s measure.Situation) string { return s.Name }); err != nil {
		return err
	}
	if plan.Policies, err = selectNamed("policy", a.Policy, bounds, measure.Policies(), func(s string) string { return s }); err != nil {
		return err
	}
	results := measure.Run(plan)
	if a.Lines == "-" {
		return measure.WriteLines(out, results)
	}
	if a.Lines != "" {
		if err := writeFile(a.Lines, results); err != nil {
			return err
		}
	}
	return measure.WriteTable(out, results)
}

// selectNamed returns the elements of all whose name is in names or always; without names it returns all.
func selectNamed[T any](category string, names, always []string, all []T, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	for _, n := range names {
		if !slices.ContainsFunc(all, func(t T) bool { return name(t) == n }) {
			return nil, errors.Newf("measure: no %s %q", category, n)
		}
	}
	return slices.DeleteFunc(all, func(t T) bool {
		return !slices.Contains(names, name(t)) && !slices.Contains(always, name(t))
	}), nil
}

func writeFile(path string, results []measure.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "measure: create the file of JSON lines")
	}
	return errors.CombineErrors(measure.WriteLines(f, results), errors.Wrap(f.Close(), "measure: close the file of JSON lines"))
}
