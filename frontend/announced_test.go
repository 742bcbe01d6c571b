package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

// TestBodyMemory guards against callers whose bodies take the memory of the process together, and against small bodies that are cut
// off in their place.
func TestBodyMemory(t *testing.T) {
	const size, callers = 16_000_000, 4
	synctest.Test(t, func(t *testing.T) {
		l := flood.NewListener()
		serveOn(t, l, outcome.Answered{Status: http.StatusOK})
		send := func(size int) (status int, isNoMemory bool) {
			c := l.Dial()
			defer c.Close()
			go func() {
				_, _ = fmt.Fprintf(c, "POST /v1/call/large/act/ HTTP/1.1\r\nHost: h\r\nFulmarhitch-Request-Id: 1\r\nFulmarhitch-Key: k\r\nContent-Length: %d\r\n\r\n", size)
				// Half of the body comes at once, and the rest when all callers have sent theirs.
				_, _ = c.Write(make([]byte, size/2))
				time.Sleep(100 * time.Millisecond)
				_, _ = c.Write(make([]byte, size-size/2))
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Error(err)
				return 0, false
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Error(err)
			}
			return resp.StatusCode, strings.Contains(string(text), string(outcome.NoMemory))
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		statuses := make(map[int]int)
		for range callers {
			all.Go(func() {
				status, isNoMemory := send(size)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == http.StatusServiceUnavailable && !isNoMemory {
					t.Error("refused for another reason")
				}
			})
		}
		all.Go(func() {
			if status, _ := send(1000); status != http.StatusOK {
				t.Errorf("small body: status %d", status)
			}
		})
		all.Wait()
		if statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != callers {
			t.Errorf("statuses %v", statuses)
		}
	})
}
