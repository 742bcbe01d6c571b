package document

import (
	"bytes"
	"fmt"
)

// maxNesting bounds nested arrays and inline tables; the parser recurses for each, and a stack overflow can't be
// recovered from.
const maxNesting = 16

// checkNesting returns an error with a place if brackets outside strings and comments nest too deeply.
func checkNesting(text []byte) error {
	depth, line, start := 0, 1, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '\n':
			line, start = line+1, i+1
		case '#':
			i += lineLength(text[i:]) - 1
		case '"', '\'':
			n := stringLength(text[i:], c)
			line += bytes.Count(text[i:i+n], []byte{'\n'})
			i += n - 1
		case '[', '{':
			if depth++; depth > maxNesting {
				return fmt.Errorf("(%d, %d): more than %d nested brackets", line, i-start+1, maxNesting)
			}
		case ']', '}':
			depth = max(depth-1, 0)
		}
	}
	return nil
}

// lineLength returns the number of bytes before the end of the line.
func lineLength(text []byte) int {
	if n := bytes.IndexByte(text, '\n'); n >= 0 {
		return n
	}
	return len(text)
}

// stringLength returns the length of the string literal at the start of the text. An unterminated literal ends at
// the end of its line, or of the text if it spans lines.
func stringLength(text []byte, quote byte) int {
	mark := bytes.Repeat([]byte{quote}, 3)
	multi := bytes.HasPrefix(text, mark)
	if !multi {
		mark = mark[:1]
	}
	for i := len(mark); i < len(text); i++ {
		switch {
		case quote == '"' && text[i] == '\\':
			i++
		case !multi && text[i] == '\n':
			return i
		case bytes.HasPrefix(text[i:], mark):
			return i + len(mark)
		}
	}
	return len(text)
}
