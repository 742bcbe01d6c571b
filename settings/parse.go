package settings

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/document"
)

// Parse parses the text of the settings file with the given name. If the file is invalid, the error carries all
// findings (finding.Of), each with file name, line and column.
func Parse(name string, text []byte) (*Settings, error) {
	doc, t := document.Parse(name, text)
	nameSetting := document.Setting[string]{Check: document.Name}
	addressSetting := document.Setting[string]{Check: document.Address}
	s := &Settings{
		Name:          document.Get(t, "name", nameSetting),
		FailureDomain: document.Get(t, "failure-domain", nameSetting),
		Address:       document.Get(t, "address", addressSetting),
		PeerAddress:   document.Get(t, "peer-address", addressSetting),
		StoreAddress:  document.Get(t, "store-address", addressSetting),
		VMListAddress: document.Get(t, "vm-list-address", addressSetting),
		Peers:         t.Strings("peers", true, document.Address),
		StopTimeout: document.Get(t, "stop-timeout", document.Setting[time.Duration]{
			Optional: true, Default: 90 * time.Second, Check: document.Range(time.Second, 10*time.Minute),
		}),
		Memory:     document.Get(t, "memory", document.Setting[int]{Optional: true, Default: 256, Check: document.Range(32, 1<<20)}),
		BodyMemory: document.Get(t, "body-memory", document.Setting[int]{Optional: true, Check: document.Range(0, 1<<20)}),
		LogLevel:   document.Get(t, "log-level", document.Setting[string]{Optional: true, Default: "info", Check: checkLogLevel}),
	}
	if s.Address != "" && s.Address == s.PeerAddress {
		t.Report("peer-address", "%s is also the address for callers", s.Address)
	}
	t.CheckUnknown()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

var logLevels = []string{"debug", "info", "warning", "error"}

func checkLogLevel(s string) string {
	if !slices.Contains(logLevels, s) {
		return "one of " + strings.Join(logLevels, ", ") + " expected"
	}
	return ""
}
