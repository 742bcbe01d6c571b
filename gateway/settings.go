package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/document"
)

// Settings are the checked settings of one process.
type Settings struct {
	// Name identifies the VM and FailureDomain tells where it stands.
	Name, FailureDomain string
	// Address is for callers, ReadyAddress for readiness checks, DirectoryAddress for callers that ask for addresses.
	Address, ReadyAddress, DirectoryAddress string
	// StoreAddress is that of the store.
	StoreAddress string
	// PeerAddress is for other VMs; without it the VM and the others each watch the store themselves.
	PeerAddress string
	// LinkRate is the rate of the VM's network link in Mbit/s, or 0 if it isn't known.
	LinkRate float64
	// MetricsAddress serves the metrics; it may be empty.
	MetricsAddress string
	// AddressLifetime is how long callers may keep addresses.
	AddressLifetime time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
	// RetryRatio bounds second sends of a service by its requests; RetryBurst is what the fleet may send beyond.
	RetryRatio, RetryBurst float64
	// QuestionsPerSecond bounds the questions that the fleet asks each upstream.
	QuestionsPerSecond float64
	// LogLevel is the lowest level that is logged.
	LogLevel logrus.Level
}

// ParseSettings reads the text of a settings file with the given name. On any fault the error carries all findings
// (finding.Of), each with file name, line and column.
func ParseSettings(name string, text []byte) (*Settings, error) {
	doc, t := document.Parse(name, text)
	required := document.Setting[string]{Check: notEmpty}
	address := document.Setting[string]{Check: document.Address}
	s := &Settings{
		Name:             document.Get(t, "name", required),
		FailureDomain:    document.Get(t, "failure-domain", required),
		Address:          document.Get(t, "address", address),
		ReadyAddress:     document.Get(t, "ready-address", address),
		DirectoryAddress: document.Get(t, "directory-address", address),
		StoreAddress:     document.Get(t, "store-address", address),
		PeerAddress:      document.Get(t, "peer-address", document.Setting[string]{Optional: true, Check: document.Address}),
		LinkRate:         document.Get(t, "link-rate", document.Setting[float64]{Optional: true, Check: document.Range(0.0, 1e6)}),
		MetricsAddress:   document.Get(t, "metrics-address", document.Setting[string]{Optional: true, Check: document.Address}),
		AddressLifetime: document.Get(t, "address-lifetime", document.Setting[time.Duration]{
			Optional: true, Default: 2 * time.Second, Check: document.Range(100*time.Millisecond, time.Minute),
		}),
		StopTimeout: document.Get(t, "stop-timeout", document.Setting[time.Duration]{
			Optional: true, Default: 6 * time.Second, Check: document.Range(time.Second, 10*time.Minute),
		}),
		RetryRatio: document.Get(t, "retry-ratio", document.Setting[float64]{
			Optional: true, Default: 0.2, Check: document.Range(0.0, 0.2),
		}),
		RetryBurst: document.Get(t, "retry-burst", document.Setting[float64]{Optional: true, Check: document.Range(0.0, 1e6)}),
		QuestionsPerSecond: document.Get(t, "questions-per-second", document.Setting[float64]{
			Optional: true, Default: 10, Check: document.Range(0.0, 1e6),
		}),
	}
	level := document.Get(t, "log-level", document.Setting[string]{Optional: true, Default: "info", Check: logLevel})
	t.End()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s.LogLevel, _ = logrus.ParseLevel(level)
	return s, nil
}

func notEmpty(s string) string {
	if s == "" {
		return "text expected"
	}
	return ""
}

func logLevel(s string) string {
	if _, err := logrus.ParseLevel(s); err != nil {
		return "a level such as info expected"
	}
	return ""
}
