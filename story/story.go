package story

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

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Story holds the lines of one request.
type Story struct {
	id    string
	lines []line
	// Bad is the number of lines that could not be read as JSON.
	Bad int
}

type line struct {
	at     time.Time
	fields map[string]any
}

// New returns an empty story of the request with the identifier.
func New(id string) *Story {
	return &Story{id: id}
}

// Read takes the lines of one log that name the request. Text before the first brace of a line is left out.
func (s *Story) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLine)
	for in.Scan() {
		s.take(in.Text())
	}
	return errors.Wrap(in.Err(), "story: read")
}

func (s *Story) take(text string) {
	if !strings.Contains(text, s.id) {
		return
	}
	start := strings.IndexByte(text, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil {
		s.Bad++
		return
	}
	if fields["request"] != s.id {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		s.Bad++
		return
	}
	s.lines = append(s.lines, line{at, fields})
}

// Write prints the lines in the order of their times, with the attempts of each VM below its line.
func (s *Story) Write(w io.Writer) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, l := range s.lines {
		if err := l.write(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d unreadable\n", len(s.lines), s.Bad)
	return err
}

// hidden are the fields that the first line of an entry shows in another way.
var hidden = []string{"time", "vm", "msg", "level", "request", "attempts", "failure-domain"}

func (l line) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %v: %v%s\n", l.at.Format("15:04:05.000"), l.fields["vm"], l.fields["msg"], list(l.fields, hidden))
	if err != nil {
		return err
	}
	attempts, _ := l.fields["attempts"].([]any)
	for i, a := range attempts {
		fields, ok := a.(map[string]any)
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, "    attempt %d:%s\n", i+1, list(fields, nil)); err != nil {
			return err
		}
	}
	return nil
}

// list returns the fields by name.
func list(fields map[string]any, without []string) string {
	var names []string
	for name := range fields {
		if !slices.Contains(without, name) {
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
