package limit_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/limit"
)

// fixed answers each request with the body.
type fixed struct{ body io.Reader }

func (f fixed) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(f.body)}, nil
}

// TestTransport guards against a body that is changed, refused within the limit, or read beyond it.
func TestTransport(t *testing.T) {
	for name, test := range map[string]struct {
		body io.Reader
		want string
		err  error
	}{
		"empty":           {strings.NewReader(""), "", nil},
		"at the limit":    {strings.NewReader("0123456789"), "0123456789", nil},
		"above it":        {strings.NewReader("01234567890"), "0123456789", limit.ErrTooLarge},
		"byte by byte":    {iotest.OneByteReader(strings.NewReader("0123456789")), "0123456789", nil},
		"above, by bytes": {iotest.OneByteReader(strings.NewReader("01234567890")), "0123456789", limit.ErrTooLarge},
		"last and EOF":    {iotest.DataErrReader(strings.NewReader("0123456789")), "0123456789", nil},
		"broken":          {iotest.ErrReader(io.ErrUnexpectedEOF), "", io.ErrUnexpectedEOF},
	} {
		transport := &limit.Transport{Base: fixed{test.body}, MaxBody: 10}
		resp, err := transport.RoundTrip(nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if string(body) != test.want || !errors.Is(err, test.err) {
			t.Errorf("%s: %q, %v; want %q, %v", name, body, err, test.want, test.err)
		}
		if test.err == nil {
			continue
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != 0 || !errors.Is(err, test.err) {
			t.Errorf("%s: %d further bytes, %v", name, n, err)
		}
	}
}
