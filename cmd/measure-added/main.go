package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/load"
	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

// callTimeout far exceeds the latencies on a loopback link.
const callTimeout = time.Second

type arguments struct {
	Rates    []float64     `default:"300,600,1000" help:"Calls per second, half of them through the entry VM."`
	Repeat   int           `default:"1" help:"Runs of each rate."`
	Duration time.Duration `default:"8s" help:"Time of one run."`
	Bin      string        `help:"Folder with the programs; the default is that of this program."`
	Profile  string        `help:"File for the entry VM's processor profile; its allocations go to the file with .allocs added."`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("measure-added"), kong.Description("Measure the time that an entry VM adds to a call."))
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	bin, err := program.Folder(a.Bin)
	if err != nil {
		return err
	}
	a.Bin = bin
	folder, err := os.MkdirTemp("", "fulmarhitch-added-")
	if err != nil {
		return errors.Wrap(err, "measure-added")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := newFleet(a.Bin, folder, a.Profile)
	defer f.stop()
	if err != nil {
		return err
	}
	// The first calls open the connections.
	if _, err := measure(f, a.Rates[0], time.Second); err != nil {
		return err
	}
	fmt.Println(header)
	for range a.Repeat {
		for _, rate := range a.Rates {
			line, err := measure(f, rate, a.Duration)
			if err != nil {
				return err
			}
			fmt.Println(line)
		}
	}
	return nil
}

const header = "load-average rate | direct p50 p99 p99.9 | entry p50 p99 p99.9 | added p50 p99 p99.9 (µs) | " +
	"processor µs, allocations, bytes per call | calls per core-second"

// measure makes one run and returns its line of the output.
func measure(f *fleet, rate float64, duration time.Duration) (string, error) {
	l, err := load.New(load.Config{
		Entries: []string{f.entry.Address}, Direct: f.upstream.Address, Rate: rate, Duration: duration, Seed: 1, Path: "load",
		Mix: []load.Share{{Service: serviceName, Kind: kindName, Idempotent: true, Weight: 1, Timeout: callTimeout}},
	})
	if err != nil {
		return "", err
	}
	before, err := f.usage()
	if err != nil {
		return "", err
	}
	report := l.Run(context.Background())
	after, err := f.usage()
	if err != nil {
		return "", err
	}
	return format(rate, report, after.sub(before))
}

// format returns the line of a run, or an error if any call through the entry VM was not answered or there was none.
func format(rate float64, report load.Report, u usage) (string, error) {
	var direct, entry load.Line
	for _, l := range report.Lines {
		if l.Route == load.Direct {
			direct = l
		} else {
			entry = l
		}
	}
	if unanswered := entry.Failed + entry.NotRun + entry.Unknown + entry.Mismatched + entry.Dropped; unanswered > 0 || entry.Answered == 0 {
		return "", errors.Newf("measure-added: %d calls were answered and %d were not", entry.Answered, unanswered)
	}
	calls := float64(entry.Answered)
	return fmt.Sprintf("%s %g | %s | %s | %s | %.0f %.0f %.0f | %.0f", loadAverage(), rate,
		quantiles(direct.P50, direct.P99, direct.P999), quantiles(entry.P50, entry.P99, entry.P999),
		quantiles(entry.P50-direct.P50, entry.P99-direct.P99, entry.P999-direct.P999),
		u.cpuSeconds/calls*1e6, u.allocations/calls, u.bytes/calls, calls/u.cpuSeconds), nil
}

// quantiles returns the durations in microseconds.
func quantiles(d ...time.Duration) string {
	var texts []string
	for _, duration := range d {
		texts = append(texts, fmt.Sprint(duration.Microseconds()))
	}
	return strings.Join(texts, " ")
}

// loadAverage returns the machine's load average of the last minute, or "-" if the system doesn't provide it.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "-"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
