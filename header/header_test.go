package header_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/header"
)

// TestEndToEnd guards against hop-by-hop headers, headers that let a transport resend a request, and forged protocol headers
// that pass a hop.
func TestEndToEnd(t *testing.T) {
	Convey("Only end-to-end headers pass", t, func() {
		got := header.EndToEnd(http.Header{
			"Accept": {"a"}, "x-lower": {"b"}, "Upstream-Body-Digest": {"c"}, "Connection": {"close, X-Named"}, "X-Named": {"d"},
			"Te": {"e"}, "Idempotency-Key": {"f"}, "Fulmarhitch-Outcome": {"answered"}, "Upstream-Refused": {"shed"},
		})
		So(got, ShouldResemble, http.Header{"Accept": {"a"}, "X-Lower": {"b"}, "Upstream-Body-Digest": {"c"}})
	})
}
