package vmlist

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/finding"
)

const entryJSON = `{"name":"e1","address":"127.0.0.1:1","peer-address":"127.0.0.1:2","failure-domain":"d","role":"entry","state":"live"}`

// TestList guards against an invalid list that is accepted as a shorter or empty one.
func TestList(t *testing.T) {
	tests := map[string]struct {
		status   int
		body     string
		vms      int
		findings int
	}{
		"one":         {200, `{"vms":[` + entryJSON + `]}`, 1, 0},
		"empty":       {200, `{"vms":[]}`, 0, 0},
		"twice":       {200, `{"vms":[` + entryJSON + `,` + entryJSON + `]}`, -1, 1},
		"bad fields":  {200, `{"vms":[{"address":"localhost:1","role":"x","state":"y"}]}`, -1, 5},
		"no peer":     {200, `{"vms":[` + strings.Replace(entryJSON, "127.0.0.1:2", "", 1) + `]}`, -1, 1},
		"no list":     {200, `{}`, -1, 0},
		"other field": {200, `{"vms":[],"next":"p"}`, -1, 0},
		"truncated":   {200, `{"vms":[` + entryJSON, -1, 0},
		"oversized":   {200, `{"vms":[` + strings.Repeat(" ", maxResponseBytes) + `]}`, -1, 0},
		"failure":     {503, ``, -1, 0},
	}
	for name, test := range tests {
		Convey("Given the answer "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			c := New(server.Listener.Addr().String())
			defer c.Close()
			vms, err := c.List(context.Background())
			So(err == nil, ShouldEqual, test.vms >= 0)
			So(len(finding.Of(err)), ShouldEqual, test.findings)
			if err == nil {
				So(len(vms), ShouldEqual, test.vms)
			}
		})
	}
}

// FuzzReadList guards against a panic or a VM without a name.
func FuzzReadList(f *testing.F) {
	f.Add([]byte(`{"vms":[` + entryJSON + `]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := readList(bytes.NewReader(data))
		for _, v := range vms {
			if err == nil && v.Name == "" {
				t.Fatalf("accepted %q", data)
			}
		}
	})
}
