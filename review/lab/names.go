package lab

import (
	// For names.txt.
	_ "embed"
	"strings"
)

// namesText holds the names of the users' protocols, which Go files outside platform/ must not have.
//
//go:embed names.txt
var namesText string

var names = parseNames()

func parseNames() map[string]string {
	all := make(map[string]string)
	for line := range strings.Lines(namesText) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[key] = name
	}
	return all
}
