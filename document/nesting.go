package document

import (
	"bytes"
	"fmt"
)

// maxNesting bounds the depth of nested arrays and inline tables; the parser recurses for each level, and Go can't
// recover from a stack overflow.
const maxNesting = 16

// checkNesting returns an error with a position if brackets outside strings and comments nest too deeply.
func checkNesting(text []byte) error {
	depth, line, lineStart := 0, 1, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '\n':
			line, lineStart = line+1, i+1
		case '#':
			i += lineLength(text[i:]) - 1
		case '"', '\'':
			n := stringLength(text[i:], c)
			line += bytes.Count(text[i:i+n], []byte{'\n'})
			i += n - 1
		case '[', '{':
			if depth++; depth > maxNesting {
				return fmt.Errorf("(%d, %d): more than %d nested brackets", line, i-lineStart+1, maxNesting)
			}
		case ']', '}':
			depth = max(depth-1, 0)
		}
	}
	return nil
}

// lineLength returns the number of bytes before the end of the first line.
func lineLength(text []byte) int {
	if n := bytes.IndexByte(text, '\n'); n >= 0 {
		return n
	}
	return len(text)
}

// stringLength returns the length of the string literal at the start of the text in bytes. An unterminated literal ends
// at the end of its line or, if it is a multi-line one, of the text.
func stringLength(text []byte, quote byte) int {
	delimiter := bytes.Repeat([]byte{quote}, 3)
	multiline := bytes.HasPrefix(text, delimiter)
	if !multiline {
		delimiter = delimiter[:1]
	}
	for i := len(delimiter); i < len(text); i++ {
		switch {
		case quote == '"' && text[i] == '\\':
			i++
		case !multiline && text[i] == '\n':
			return i
		case bytes.HasPrefix(text[i:], delimiter):
			return i + len(delimiter)
		}
	}
	return len(text)
}
