package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/standin/platform"
)

// TestPut guards, over real sockets, against reporting a definite result for a write whose result is unknown.
func TestPut(t *testing.T) {
	tests := map[string]struct {
		faults platform.Faults
		expect uint64
		size   int
		want   Result
		after  uint64 // version once late writes have been applied
	}{
		"swapped":      {want: Swapped{Version: 2}, expect: 1, after: 2},
		"conflict":     {want: Conflict{Version: 1}, expect: 0, after: 1},
		"lost answer":  {faults: platform.Faults{LoseAnswers: true}, want: Uncertain{}, expect: 1, after: 2},
		"late write":   {faults: platform.Faults{DelayWrites: time.Millisecond}, want: Uncertain{}, expect: 1, after: 2},
		"outage":       {faults: platform.Faults{Outage: true}, want: Uncertain{}, expect: 1, after: 1},
		"slow store":   {faults: platform.Faults{Delay: time.Minute}, want: Uncertain{}, expect: 1, after: 1},
		"large value":  {size: MaxValue, want: Swapped{Version: 2}, expect: 1, after: 2},
		"larger value": {size: MaxValue + 1, want: Rejected{}, expect: 1, after: 1},
	}
	for name, test := range tests {
		Convey("Given the case "+name, t, func() {
			p := platform.New()
			p.Put("k", 0, []byte("old"))
			server := httptest.NewServer(p.Handler())
			c := New(server.Listener.Addr().String())
			p.SetFaults(test.faults)
			got := c.Put(context.Background(), "k", test.expect, bytes.Repeat([]byte("v"), test.size))
			server.CloseClientConnections()
			p.Wait()
			switch got := got.(type) {
			case Uncertain:
				So(test.want, ShouldHaveSameTypeAs, got)
			case Rejected:
				So(test.want, ShouldHaveSameTypeAs, got)
			default:
				So(got, ShouldResemble, test.want)
			}
			_, version := p.Value("k")
			So(version, ShouldEqual, test.after)
			c.Close()
			server.Close()
			So(c.Put(context.Background(), "k", 1, nil).(Rejected).Temporary, ShouldBeTrue)
		})
	}
}

// TestRateLimit guards against a rate-limited write that is reported as a write of unknown result.
func TestRateLimit(t *testing.T) {
	Convey("Given a store that has used up its writes and reads", t, func() {
		p := platform.New()
		c := NewWithTransport("store", p.Transport())
		var put Result
		for range 2 * platform.WritesPerSecond {
			if put = c.Put(context.Background(), "k", 9, nil); put != (Conflict{}) {
				break
			}
		}
		So(errors.Is(put.(Rejected).Cause, ErrRateLimited), ShouldBeTrue)
		So(put.(Rejected).Temporary, ShouldBeTrue)
		var err error
		for i := 0; i < 100*platform.ReadsPerSecond && err == nil; i++ {
			_, err = c.Get(context.Background(), "k")
		}
		So(errors.Is(err, ErrRateLimited), ShouldBeTrue)
		So(p.Counts().Limited, ShouldEqual, 2)
	})
}

// TestMalformed guards against a malformed answer that is accepted as a value, a version or a definite result.
func TestMalformed(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"no value":       {200, `{"value":null,"version":2}`},
		"no version":     {200, `{"value":"AA=="}`},
		"null":           {200, `null`},
		"other field":    {200, `{"value":"AA==","version":2,"lease":1}`},
		"trailing":       {200, `{"value":"AA==","version":2}{}`},
		"truncated":      {200, `{"value":"AA==","vers`},
		"expected":       {200, `{"value":"AA==","version":1}`},
		"oversized":      {200, `{"value":"` + strings.Repeat("A", maxResponseBytes) + `","version":2}`},
		"server error":   {500, ``},
		"redirect":       {307, ``},
		"other conflict": {409, `{"version":1}`},
	}
	for name, test := range tests {
		Convey("Given the answer "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			c := New(server.Listener.Addr().String())
			defer c.Close()
			_, _, err := c.Watch(context.Background(), "k", 1, time.Second)
			So(err, ShouldNotBeNil)
			So(c.Put(context.Background(), "k", 1, nil), ShouldHaveSameTypeAs, Uncertain{})
		})
	}
}

// FuzzReadValue guards against a panic or an accepted value that violates the limits.
func FuzzReadValue(f *testing.F) {
	f.Add([]byte(`{"value":"AA==","version":2}`))
	f.Add([]byte(`{"value":null,"version":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := readValue(bytes.NewReader(data)); err == nil && (v.Version == 0 || len(v.Data) > MaxValue) {
			t.Fatalf("accepted %q", data)
		}
	})
}
