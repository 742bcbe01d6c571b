package exchange

import (
	"net/http"
	"strings"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// checkNative returns the reason for which a request must not be sent in the native dialect, or an empty string.
func checkNative(r *request.Request) string {
	switch {
	case !r.Idempotent && r.Method != http.MethodPost:
		// HTTP software on the path may replay requests whose methods it considers idempotent.
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
	if hasDotSegment(r.Kind) || hasDotSegment(r.Path) {
		return "path has a dot segment"
	}
	return ""
}

// isPrintable reports whether a part of a target can be written to a request line.
func isPrintable(part string) bool {
	for i := range len(part) {
		if c := part[i]; c <= ' ' || c == 0x7f || c == '#' {
			return false
		}
	}
	return true
}

// hasDotSegment reports whether the path has a segment "." or "..", also in encoded form. An upstream that resolves it would
// run another kind than the one whose rules were applied.
func hasDotSegment(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return false
	}
	decoded := strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", "%5c", "/", "%5C", "/", `\`, "/").Replace(path)
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// nativeTarget returns the request target in the native dialect. The path is not changed; it keeps its escapes and query.
func nativeTarget(r *request.Request) string {
	if r.Path == "" || r.Path[0] == '?' {
		return "/" + r.Kind + r.Path
	}
	return "/" + r.Kind + "/" + r.Path
}
