package document

import (
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml"
)

// Table is one table of a document. Its methods accept a nil table, for which they return zero values.
type Table struct {
	document  *Document
	tree      *toml.Tree
	position  toml.Position
	requested []string
}

// Setting describes one setting of type T.
type Setting[T any] struct {
	// Optional settings that are missing get the value Default.
	Optional bool
	Default  T
	// Check returns a description of what is wrong with a value, or "". It may be nil.
	Check func(T) string
}

// Value is the set of types that a setting can have. Durations are written as strings such as "250ms".
type Value interface {
	string | int | float64 | bool | time.Duration
}

// Get returns the setting's value, or its default with a finding if it is missing, mistyped or out of range.
func Get[T Value](t *Table, name string, s Setting[T]) T {
	if t == nil {
		return s.Default
	}
	t.requested = append(t.requested, name)
	raw := t.tree.GetPath([]string{name})
	if raw == nil {
		if !s.Optional {
			t.document.report(t.position, "setting %q is missing", name)
		}
		return s.Default
	}
	v, expected := convert[T](raw)
	if expected != "" {
		t.Report(name, "%s expected, found %v", expected, describe(raw))
		return s.Default
	}
	if s.Check != nil {
		if problem := s.Check(v); problem != "" {
			t.Report(name, "%s", problem)
			return s.Default
		}
	}
	return v
}

// convert returns the value as a T, or a description of what was expected.
func convert[T Value](raw any) (v T, expected string) {
	switch p := any(&v).(type) {
	case *string:
		return v, assign(p, raw, "a string")
	case *bool:
		return v, assign(p, raw, "true or false")
	case *int:
		var n int64
		expected = assign(&n, raw, "an integer")
		*p = int(n)
	case *float64:
		if n, ok := raw.(int64); ok {
			*p = float64(n)
			return v, ""
		}
		expected = assign(p, raw, "a number")
	case *time.Duration:
		const wantDuration = `a duration such as "250ms"`
		var text string
		if expected = assign(&text, raw, wantDuration); expected == "" {
			d, err := time.ParseDuration(text)
			if err != nil {
				return v, wantDuration
			}
			*p = d
		}
	}
	return v, expected
}

func assign[T any](p *T, raw any, expected string) string {
	v, ok := raw.(T)
	if !ok {
		return expected
	}
	*p = v
	return ""
}

// Strings returns a list of strings; each must pass the check.
func (t *Table) Strings(name string, optional bool, check func(string) string) []string {
	if t == nil {
		return nil
	}
	t.requested = append(t.requested, name)
	raw := t.tree.GetPath([]string{name})
	if raw == nil {
		if !optional {
			t.document.report(t.position, "setting %q is missing", name)
		}
		return nil
	}
	list, ok := raw.([]any)
	if !ok {
		t.Report(name, "a list of strings expected, found %s", describe(raw))
		return nil
	}
	var all []string
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			t.Report(name, "entry %d: a string expected, found %s", i+1, describe(e))
			continue
		}
		if problem := check(s); problem != "" {
			t.Report(name, "entry %d: %s", i+1, problem)
			continue
		}
		if slices.Contains(all, s) {
			t.Report(name, "entry %d: %q is listed twice", i+1, s)
			continue
		}
		all = append(all, s)
	}
	return all
}

// Tables returns the tables of an array of tables; there must be at least one.
func (t *Table) Tables(name string) []*Table {
	if t == nil {
		return nil
	}
	t.requested = append(t.requested, name)
	raw := t.tree.GetPath([]string{name})
	trees, ok := raw.([]*toml.Tree)
	if raw == nil || (ok && len(trees) == 0) {
		t.document.report(t.position, "at least one table [[%s]] is expected", name)
		return nil
	}
	if !ok {
		t.Report(name, "an array of tables [[%s]] expected, found %s", name, describe(raw))
		return nil
	}
	var all []*Table
	for _, tree := range trees {
		all = append(all, &Table{document: t.document, tree: tree, position: validOr(tree.Position(), t.position)})
	}
	return all
}

// Report adds a finding at the position of a setting in the table, or of the table if it has no such setting.
func (t *Table) Report(name, format string, args ...any) {
	at := t.position
	if t.tree.HasPath([]string{name}) {
		at = validOr(t.tree.GetPositionPath([]string{name}), at)
	}
	t.document.report(at, "setting %q: "+format, append([]any{name}, args...)...)
}

// CheckUnknown reports as unknown each setting that no earlier call requested. It must be the last call.
func (t *Table) CheckUnknown() {
	if t == nil {
		return
	}
	for _, name := range t.tree.Keys() {
		if !slices.Contains(t.requested, name) {
			t.Report(name, "unknown; known here are %s", strings.Join(t.requested, ", "))
		}
	}
}

// validOr returns the position, or the fallback if the parser set none.
func validOr(at, fallback toml.Position) toml.Position {
	if at.Invalid() {
		return fallback
	}
	return at
}

func describe(raw any) string {
	switch v := raw.(type) {
	case string:
		if len(v) > 40 {
			v = v[:40] + "..."
		}
		return `the string "` + v + `"`
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case bool:
		return "a boolean"
	case *toml.Tree:
		return "a table"
	case []*toml.Tree:
		return "an array of tables"
	case []any:
		return "a list"
	default:
		return "a value of another type"
	}
}
