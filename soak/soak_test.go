package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/soak"
)

var (
	first      = flag.Uint64("first", 1, "first seed")
	seeds      = flag.Uint64("seeds", 1, "number of seeds")
	duration   = flag.Duration("duration", 6*time.Second, "duration of the faults for each seed")
	production = flag.String("production", "", "folder with the program of another version that the VMs run until their first restart")
	gateways   = flag.Int("gateways", 4, "number of gateways")
	upstreams  = flag.Int("upstreams", 4, "number of upstreams of each service")
	keepFolder = flag.String("keep", "", "folder to which the logs of failed seeds are copied")
)

// regressions holds seeds that failed in the past, by name.
var regressions = map[string]uint64{}

// TestSoak guards against requests that run twice, requests that run though they were answered as not run, wrong answers
// and gateways that don't recover, under overlapping faults of processes, links, upstreams and the store.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../cmd/fulmarhitch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, seed := range regressions {
		t.Run(name, func(t *testing.T) { runSeed(t, bin, seed) })
	}
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, bin, seed) })
	}
}

// runSeed runs one seed and reports violated guarantees.
func runSeed(t *testing.T, bin string, seed uint64) {
	logs := t.TempDir()
	s := soak.New(bin, logs, seed, *gateways, *upstreams)
	if *production != "" {
		s.UpgradeFrom(*production)
	}
	violations, err := s.Run(*duration)
	if err != nil {
		t.Fatal(err)
	}
	attempts, served := s.Served()
	t.Logf("seed %d: %d attempts, %d served, %d faults", seed, attempts, served, len(s.Events()))
	if len(violations) == 0 {
		return
	}
	t.Errorf("seed %d, %d violated guarantees, the first:\n%s\nfaults:\n%s", seed, len(violations),
		strings.Join(violations[:min(5, len(violations))], "\n"), strings.Join(s.Events(), "\n"))
	if *keepFolder != "" {
		if err := os.CopyFS(filepath.Join(*keepFolder, t.Name()), os.DirFS(logs)); err != nil {
			t.Error(err)
		}
	}
}
