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
	first    = flag.Uint64("first", 1, "first seed")
	seeds    = flag.Uint64("seeds", 1, "number of seeds")
	duration = flag.Duration("duration", 6*time.Second, "time with faults of each seed")
	keep     = flag.String("keep", "", "folder in which the logs of seeds that failed are kept")
)

// regressions are seeds that failed once.
var regressions = map[string]uint64{}

// TestSoak guards against requests that run twice, false refusals, wrong answers and gateways that don't recover, under
// faults of processes, links, upstreams and the store that overlap.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../cmd/fulmarhitch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, seed := range regressions {
		t.Run(name, func(t *testing.T) { play(t, bin, seed) })
	}
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, bin, seed) })
	}
}

// play runs one seed.
func play(t *testing.T, bin string, seed uint64) {
	logs := t.TempDir()
	s := soak.New(bin, logs, seed)
	broken, err := s.Run(*duration)
	if err != nil {
		t.Fatal(err)
	}
	attempts, served := s.Served()
	t.Logf("seed %d: %d attempts, %d served, %d faults", seed, attempts, served, len(s.Events()))
	if len(broken) == 0 {
		return
	}
	t.Errorf("seed %d, %d broken promises, the first:\n%s\nfaults:\n%s", seed, len(broken),
		strings.Join(broken[:min(5, len(broken))], "\n"), strings.Join(s.Events(), "\n"))
	if *keep != "" {
		if err := os.CopyFS(filepath.Join(*keep, t.Name()), os.DirFS(logs)); err != nil {
			t.Error(err)
		}
	}
}
