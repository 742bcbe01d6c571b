package slope

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/entry"
	"github.com/fulmarhitch/fulmarhitch/settings"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
)

// idlePeriod is the time over which the processor time of an entry VM without calls is measured.
const idlePeriod = 3 * time.Second

// BenchmarkEntry reports the live memory of the only entry VM, which is therefore home of all groups, and the processor
// time that it uses without calls: for plans, members, probes of upstreams that refuse connections, and the store. The
// platform's stand-in runs in the same process and is included.
func BenchmarkEntry(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		for b.Loop() {
			benchmarkEntryVM(b, s)
		}
	})
}

func benchmarkEntryVM(b *testing.B, s size) {
	store := httptest.NewServer(platform.New().Handler())
	defer store.Close()
	address := strings.TrimPrefix(store.URL, "http://")
	log := logrus.New()
	log.SetOutput(io.Discard)
	text := s.text()
	before := liveMemory()
	e, err := entry.New(&settings.Settings{
		Memory: 256,
		Name:   "entry-000", FailureDomain: "fd-0", Address: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", StoreAddress: address,
		VMListAddress: address, StopTimeout: time.Second,
	}, logrus.NewEntry(log))
	if err != nil {
		b.Fatal(err)
	}
	if err := e.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = e.Close(context.Background()) }()
	submit(b, "http://"+e.Member().Address+"/v1/configuration?base=0&submission=slope", text)
	time.Sleep(time.Second)
	start := processorTime(b)
	time.Sleep(idlePeriod)
	used := processorTime(b) - start
	b.ReportMetric(used.Seconds()/idlePeriod.Seconds()*1000, "processor-ms/s")
	b.ReportMetric(liveMemory()-before, "bytes")
}

// submit sends the operators' file until the entry VM accepts it.
func submit(b *testing.B, url string, text []byte) {
	for {
		res, err := http.Post(url, "text/plain", bytes.NewReader(text))
		if err != nil {
			b.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch res.StatusCode {
		case http.StatusOK:
			return
		case http.StatusServiceUnavailable:
			time.Sleep(100 * time.Millisecond)
		default:
			b.Fatalf("%d %s", res.StatusCode, body)
		}
	}
}

// processorTime returns the processor time of the process.
func processorTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
