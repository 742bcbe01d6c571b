package document

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml"

	"github.com/fulmarhitch/fulmarhitch/finding"
)

// MaxSize is the largest accepted file in bytes; the store holds values up to 1 MB.
const MaxSize = 1 << 20

// Document is a TOML file with the findings collected so far.
type Document struct {
	name     string
	findings []positionedMessage
}

type positionedMessage struct {
	position toml.Position
	message  string
}

// Parse parses the text of the file with the given name and returns its top-level table. A syntax error becomes a
// finding, and the table is then nil.
func Parse(name string, text []byte) (*Document, *Table) {
	d := &Document{name: name}
	tree, err := loadTree(text)
	if err != nil {
		d.report(syntaxPosition(err), "%s", syntaxMessage(err))
		return d, nil
	}
	return d, &Table{document: d, tree: tree, position: toml.Position{Line: 1, Col: 1}}
}

func loadTree(text []byte) (tree *toml.Tree, err error) {
	if len(text) > MaxSize {
		return nil, fmt.Errorf("(1, 1): the file has %d bytes, at most %d are accepted", len(text), MaxSize)
	}
	if err := checkNesting(text); err != nil {
		return nil, err
	}
	// The parser panics on some malformed inputs.
	defer func() {
		if r := recover(); r != nil {
			tree, err = nil, fmt.Errorf("(1, 1): the file can't be parsed: %v", r)
		}
	}()
	return toml.LoadBytes(text)
}

var syntaxErrorPosition = regexp.MustCompile(`^\((\d+), (\d+)\): `)

func syntaxPosition(err error) toml.Position {
	m := syntaxErrorPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return toml.Position{Line: 1, Col: 1}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return toml.Position{Line: line, Col: column}
}

func syntaxMessage(err error) string {
	return "syntax error: " + syntaxErrorPosition.ReplaceAllString(err.Error(), "")
}

func (d *Document) report(at toml.Position, format string, args ...any) {
	d.findings = append(d.findings, positionedMessage{at, fmt.Sprintf(format, args...)})
}

// Err returns all findings in the order of their positions as one *finding.Error, or nil if there are none.
func (d *Document) Err() error {
	slices.SortStableFunc(d.findings, func(a, b positionedMessage) int {
		return cmp.Or(cmp.Compare(a.position.Line, b.position.Line), cmp.Compare(a.position.Col, b.position.Col))
	})
	var findings []finding.Finding
	for _, p := range d.findings {
		findings = append(findings, finding.Finding{
			Place:   fmt.Sprintf("%s:%d:%d", d.name, p.position.Line, p.position.Col),
			Message: p.message,
		})
	}
	return finding.Join(findings)
}
