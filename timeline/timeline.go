package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Timeline holds the log lines of one request.
type Timeline struct {
	id    string
	lines []line
	// Unreadable is the number of lines that could not be read as JSON.
	Unreadable int
}

type line struct {
	timestamp time.Time
	fields    map[string]any
}

// New returns a Timeline without lines for the request with the identifier.
func New(id string) *Timeline {
	return &Timeline{id: id}
}

// Read adds the lines of one log that belong to the request. It ignores text before the first brace of a line.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		s.addLine(scanner.Text())
	}
	return errors.Wrap(scanner.Err(), "timeline: read")
}

func (s *Timeline) addLine(text string) {
	if !strings.Contains(text, s.id) {
		return
	}
	start := strings.IndexByte(text, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil {
		s.Unreadable++
		return
	}
	if fields["request"] != s.id {
		return
	}
	timestamp, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		s.Unreadable++
		return
	}
	s.lines = append(s.lines, line{timestamp, fields})
}

// Write prints the lines in order of time, each followed by its attempts.
func (s *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Compare(a.timestamp.UnixNano(), b.timestamp.UnixNano()) })
	for _, l := range s.lines {
		if err := l.write(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d unreadable\n", len(s.lines), s.Unreadable)
	return err
}

// omittedFields are the fields that aren't printed as name=value.
var omittedFields = []string{"time", "vm", "msg", "level", "request", "attempts", "failure-domain"}

func (l line) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %v: %v%s\n", l.timestamp.Format("15:04:05.000"), l.fields["vm"], l.fields["msg"], formatFields(l.fields, omittedFields))
	if err != nil {
		return err
	}
	attempts, _ := l.fields["attempts"].([]any)
	for i, a := range attempts {
		fields, ok := a.(map[string]any)
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, "    attempt %d:%s\n", i+1, formatFields(fields, nil)); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields that aren't empty or omitted as " name=value", sorted by name.
func formatFields(fields map[string]any, omit []string) string {
	var names []string
	for name := range fields {
		if !slices.Contains(omit, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		if v := fields[name]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
