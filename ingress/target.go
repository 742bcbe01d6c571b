package ingress

import (
	"net/http"
	"strings"
)

// originForm returns the request target in origin form and its path, in the bytes that were read, or false if the request has none. A
// target in absolute form names the host too, by which the HTTP server has replaced the Host header.
func originForm(r *http.Request) (text, path string, ok bool) {
	text = r.RequestURI
	if !strings.HasPrefix(text, "/") {
		_, rest, isAbsolute := strings.Cut(text, "://")
		if !isAbsolute || !strings.EqualFold(r.URL.Scheme, "http") || r.URL.Host == "" {
			return "", "", false
		}
		text = "/"
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			text = "/" + strings.TrimPrefix(rest[i:], "/")
		}
	}
	path, _, _ = strings.Cut(text, "?")
	return text, path, r.Method != http.MethodConnect && !strings.Contains(text, "#")
}
