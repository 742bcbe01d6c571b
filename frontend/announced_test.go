package frontend_test

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// TestAnnouncedBodies guards against callers that announce bodies and don't send them, and for which memory is taken.
func TestAnnouncedBodies(t *testing.T) {
	const callers, maxMemory = 100, 32 << 20
	synctest.Test(t, func(t *testing.T) {
		l := flood.NewListener()
		ran := serveOn(t, l, outcome.Answered{Status: http.StatusOK})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range callers {
			c := l.Dial()
			defer c.Close()
			if _, err := io.WriteString(c, "POST /v1/call/large/act/ HTTP/1.1\r\nHost: h\r\nFulmarhitch-Request-Id: 1\r\nFulmarhitch-Key: k\r\nContent-Length: 16000000\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > maxMemory {
			t.Errorf("%d bodies of one byte took %d MiB", callers, n>>20)
		}
		if len(*ran) > 0 {
			t.Error("a request was run")
		}
		// A whole body arrives unchanged.
		c := l.Dial()
		defer c.Close()
		go func() {
			_, _ = io.WriteString(c, "POST /v1/call/large/act/ HTTP/1.1\r\nHost: h\r\nFulmarhitch-Request-Id: 1\r\nFulmarhitch-Key: k\r\nContent-Length: 1000000\r\n\r\n")
			_, _ = c.Write(make([]byte, 1_000_000))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK || len(*ran) != 1 || len((*ran)[0].Body) != 1_000_000 {
			t.Errorf("response %v, %v; %d requests ran", resp, err, len(*ran))
		}
	})
}
