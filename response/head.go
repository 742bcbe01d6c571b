package response

import (
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrHead is the error for the head of a response that violates HTTP/1.1.
var ErrHead = errors.New("head of the response is malformed")

// CheckHead returns an error if the status line or a header line violates RFC 9112, or if two readers may differ about the length
// of the body. net/http accepts blanks in names, folded lines, a status of any three characters that form a number, and a length
// beside chunks. The error holds no part of the head, because callers may get its text.
func CheckHead(head string) error {
	line, rest := cutLine(head)
	if !isStatusLine(line) {
		return errors.Wrap(ErrHead, "status line")
	}
	isOld := strings.HasPrefix(line, "HTTP/1.0")
	var hasLength, hasEncoding bool
	n := 1
	for line, rest = cutLine(rest); line != ""; line, rest = cutLine(rest) {
		n++
		name, value, _ := strings.Cut(line, ":")
		// A continuation line begins with a blank, which no name has.
		if len(name) == len(line) || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return errors.Wrapf(ErrHead, "line %d", n)
		}
		hasLength = hasLength || strings.EqualFold(name, "Content-Length")
		hasEncoding = hasEncoding || strings.EqualFold(name, "Transfer-Encoding")
	}
	if hasEncoding && (hasLength || isOld) {
		return errors.Wrap(ErrHead, "Transfer-Encoding beside Content-Length or in HTTP/1.0")
	}
	return nil
}

// cutLine returns the first line without its end, which may be a line feed alone, and what follows it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// isStatusLine reports whether the line has the version 1.x, a status from 100 to 999 and a reason of printable characters. The
// blank before an empty reason may be missing.
func isStatusLine(line string) bool {
	const example = "HTTP/1.1 200"
	if len(line) < len(example) || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return false
	}
	isDigit := func(i int) bool { return line[i] >= '0' && line[i] <= '9' }
	if !isDigit(7) || line[9] == '0' || !isDigit(9) || !isDigit(10) || !isDigit(11) {
		return false
	}
	reason := line[len(example):]
	return reason == "" || reason[0] == ' ' && httpguts.ValidHeaderFieldValue(reason)
}
