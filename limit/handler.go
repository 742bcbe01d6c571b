package limit

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Handler returns a handler that calls h with requests whose bodies fail above maxBody bytes, or if they take longer than the
// timeout. Otherwise h, or the HTTP server after it, could go on reading a body without an end.
func Handler(h http.Handler, maxBody int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			http.Error(w, errors.Wrap(err, "limit: set the deadline of the body").Error(), http.StatusInternalServerError)
			return
		}
		// A body that has not ended keeps its deadline, because the HTTP server reads a part of its rest.
		r.Body = &requestBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), control: control}
		h.ServeHTTP(w, r)
	})
}

// requestBody removes the deadline at its end, so that the handler may take longer.
type requestBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := b.control.SetReadDeadline(time.Time{}); err != nil {
			return n, errors.Wrap(err, "limit: remove the deadline of the body")
		}
	}
	return n, err
}
