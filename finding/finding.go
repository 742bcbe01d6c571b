package finding

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Finding is one error in an input.
type Finding struct {
	// Place is the position of the error, such as a file name with line and column or the name of a setting.
	Place string
	// Message states what is wrong and what is expected.
	Message string
}

// String returns the finding as "place: message".
func (f Finding) String() string {
	return f.Place + ": " + f.Message
}

// Error is an error that consists of a list of findings.
type Error struct {
	// Findings are in the order of their positions.
	Findings []Finding
}

// Error returns the number of findings, followed by one line for each.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d findings", len(e.Findings))
	for _, f := range e.Findings {
		b.WriteString("\n" + f.String())
	}
	return b.String()
}

// Join returns the findings as one *Error with a stack trace, or nil if there are none.
func Join(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	return errors.WithStack(&Error{Findings: findings})
}

// Of returns the findings that err carries, or nil if it carries none.
func Of(err error) []Finding {
	var e *Error
	if errors.As(err, &e) {
		return e.Findings
	}
	return nil
}
