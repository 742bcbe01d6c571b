package settings

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/document"
)

// Parse reads the text of a settings file with the given name. On any fault the error carries all findings
// (finding.Of), each with file name, line and column.
func Parse(name string, text []byte) (*Settings, error) {
	doc, t := document.Parse(name, text)
	named := document.Setting[string]{Check: document.Name}
	address := document.Setting[string]{Check: document.Address}
	s := &Settings{
		Name:          document.Get(t, "name", named),
		FailureDomain: document.Get(t, "failure-domain", named),
		Address:       document.Get(t, "address", address),
		PeerAddress:   document.Get(t, "peer-address", address),
		StoreAddress:  document.Get(t, "store-address", address),
		VMListAddress: document.Get(t, "vm-list-address", address),
		Peers:         t.Strings("peers", true, document.Address),
		StopTimeout: document.Get(t, "stop-timeout", document.Setting[time.Duration]{
			Optional: true, Default: 90 * time.Second, Check: document.Range(time.Second, 10*time.Minute),
		}),
		LogLevel: document.Get(t, "log-level", document.Setting[string]{Optional: true, Default: "info", Check: logLevel}),
	}
	if s.Address != "" && s.Address == s.PeerAddress {
		t.Report("peer-address", "%s is also the address for callers", s.Address)
	}
	t.End()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

var logLevels = []string{"debug", "info", "warning", "error"}

func logLevel(s string) string {
	if !slices.Contains(logLevels, s) {
		return "one of " + strings.Join(logLevels, ", ") + " expected"
	}
	return ""
}
