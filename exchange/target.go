package exchange

import (
	"net/http"
	"strings"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// fault returns why the request may not be sent, or an empty string.
func fault(r *request.Request) string {
	switch {
	case !r.Idempotent && r.Method != http.MethodPost:
		// HTTP software on the way may replay requests of methods that it takes to be idempotent.
		return "method of a non-idempotent kind is not POST"
	case r.Method == "" || r.Method == http.MethodConnect:
		return "method is empty or CONNECT"
	case r.ID == "":
		return "request has no identifier"
	case r.Kind == "" || strings.ContainsAny(r.Kind, "/?#%"):
		return "kind is empty or has a reserved character"
	}
	if !isPrintable(r.Kind) || !isPrintable(r.Path) {
		return "path has a space, a control character or a fragment"
	}
	if hasDots(r.Kind) || hasDots(r.Path) {
		return "path has a dot segment"
	}
	return ""
}

// isPrintable tells whether a part of a target can be written to a request line.
func isPrintable(part string) bool {
	for i := range len(part) {
		if c := part[i]; c <= ' ' || c == 0x7f || c == '#' {
			return false
		}
	}
	return true
}

// hasDots tells whether the path has a segment "." or "..", also in encoded form. An upstream that resolves it would run
// another kind than the one whose rules were applied.
func hasDots(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return false
	}
	plain := strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", "%5c", "/", "%5C", "/", `\`, "/").Replace(path)
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// target returns the request target; Path is passed as it is, with its escapes and query.
func target(r *request.Request) string {
	if r.Path == "" || r.Path[0] == '?' {
		return "/" + r.Kind + r.Path
	}
	return "/" + r.Kind + "/" + r.Path
}
