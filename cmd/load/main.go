package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/load"
)

type flags struct {
	Entry         []string      `help:"Address of an entry VM; may be repeated."`
	Direct        string        `help:"Address of an upstream that gets every second call, for comparison."`
	File          string        `help:"Operators' file, from which the mix is taken." type:"existingfile"`
	Mix           []string      `help:"Part of the mix as service/kind=weight, with +i after the weight for an idempotent kind."`
	Rate          float64       `help:"Arrivals per second." default:"100"`
	Duration      time.Duration `help:"Time of arrivals." default:"10s"`
	Timeout       time.Duration `help:"Deadline of calls of kinds given by --mix." default:"1s"`
	Seed          uint64        `help:"Seed of arrivals and choices." default:"1"`
	Body          int           `help:"Size of the body of non-idempotent calls in bytes." default:"128"`
	Path          string        `help:"Path of each call, without a leading slash." default:"load"`
	FailureDomain string        `help:"Failure domain of the caller."`
	Token         string        `help:"Token of the caller." env:"FULMARHITCH_TOKEN"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("load"), kong.Description("Open-loop load generator."))
	status, err := f.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

func (f *flags) run() (int, error) {
	mix, err := f.mix()
	if err != nil {
		return 1, err
	}
	l, err := load.New(load.Config{
		Entries: f.Entry, Direct: f.Direct, FailureDomain: f.FailureDomain, Token: f.Token, Mix: mix, Rate: f.Rate,
		Duration: f.Duration, Seed: f.Seed, Path: f.Path, Body: f.Body,
	})
	if err != nil {
		return 1, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	report := l.Run(ctx)
	if err := errors.CombineErrors(report.Table(os.Stdout), report.JSON(os.Stdout)); err != nil {
		return 1, err
	}
	for _, line := range report.Lines {
		if line.Mismatched > 0 {
			return 2, errors.New("load: some answers were mismatched")
		}
	}
	return 0, nil
}

// mix returns the shares of the operators' file followed by those of the flags.
func (f *flags) mix() ([]load.Share, error) {
	var mix []load.Share
	if f.File != "" {
		text, err := os.ReadFile(f.File)
		if err != nil {
			return nil, errors.Wrap(err, "load")
		}
		d, err := declaration.Parse(f.File, text)
		if err != nil {
			return nil, err
		}
		mix = load.Mix(d)
	}
	for _, text := range f.Mix {
		s, err := parseShare(text)
		if err != nil {
			return nil, err
		}
		s.Timeout = f.Timeout
		mix = append(mix, s)
	}
	return mix, nil
}

// parseShare parses "service/kind=weight" with an optional suffix "+i" for an idempotent kind.
func parseShare(text string) (load.Share, error) {
	var s load.Share
	spec, idempotent := strings.CutSuffix(text, "+i")
	name, weight, ok := strings.Cut(spec, "=")
	service, kind, hasKind := strings.Cut(name, "/")
	w, err := strconv.ParseFloat(weight, 64)
	if !ok || !hasKind || err != nil {
		return s, errors.Newf("load: mix %q: service/kind=weight expected", text)
	}
	return load.Share{Service: service, Kind: kind, Idempotent: idempotent, Weight: w}, nil
}
