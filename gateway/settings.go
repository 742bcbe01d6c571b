package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/document"
)

// Settings holds the validated settings of one process.
type Settings struct {
	// Name identifies the VM, and FailureDomain is the failure domain in which it runs.
	Name, FailureDomain string
	// Address is for callers, ReadyAddress for readiness checks, DirectoryAddress for callers that look up addresses.
	Address, ReadyAddress, DirectoryAddress string
	// StoreAddress is the address of the store.
	StoreAddress string
	// PeerAddress is for other VMs; without it, no other VM can follow this one in place of the store.
	PeerAddress string
	// Seeds are addresses of up to a few VMs for other VMs, which this VM asks when it starts and the store doesn't answer.
	Seeds []string
	// LinkRate is the rate of the VM's network link in Mbit/s, or 0 if it isn't known.
	LinkRate float64
	// MetricsAddress serves the metrics; it may be empty.
	MetricsAddress string
	// AddressLifetime is how long callers may keep addresses.
	AddressLifetime time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
	// RetryRatio bounds the ratio of retries and hedges to requests of a service; RetryBurst is the number of retries and
	// hedges that the fleet may send beyond that.
	RetryRatio, RetryBurst float64
	// QuestionsPerSecond bounds the polls that the fleet sends to each upstream per second.
	QuestionsPerSecond float64
	// ColdOverage and ColdSlack bound the requests that a cold upstream gets from the fleet in any second: the warm-up rate of its
	// service times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// RulesDelay is the time within which a change of the rules is in force.
	RulesDelay time.Duration
	// KeyLifetime is the time after which a key that was taken away must not be accepted anywhere, or 0 if VMs accept keys by the
	// last rules that they know.
	KeyLifetime time.Duration
	// LimitWindow is the time in which limits of organisations bound the requests, LimitOverage the tolerated excess as a part of them,
	// and LimitSlack the tolerated excess in requests.
	LimitWindow              time.Duration
	LimitOverage, LimitSlack float64
	// Memory is the memory that the process may use, in MiB.
	Memory int
	// BodyMemory bounds the bodies of requests and answers that are held, in MiB; 0 stands for a quarter of Memory.
	BodyMemory int
	// HeadMemory bounds the memory for the heads of requests, in MiB; 0 stands for an eighth of Memory.
	HeadMemory int
	// Connections bounds the open connections of callers, look-ups and readiness checks; 0 stands for 16 for each MiB of Memory.
	Connections int
	// LogLevel is the lowest level that is logged.
	LogLevel logrus.Level
}

// ParseSettings reads the text of a settings file with the given name. If the text is invalid, the error holds all findings
// (finding.Of), each with file name, line and column.
func ParseSettings(name string, text []byte) (*Settings, error) {
	doc, t := document.Parse(name, text)
	required := document.Setting[string]{Check: checkNotEmpty}
	address := document.Setting[string]{Check: document.Address}
	s := &Settings{
		Name:             document.Get(t, "name", required),
		FailureDomain:    document.Get(t, "failure-domain", required),
		Address:          document.Get(t, "address", address),
		ReadyAddress:     document.Get(t, "ready-address", address),
		DirectoryAddress: document.Get(t, "directory-address", address),
		StoreAddress:     document.Get(t, "store-address", address),
		PeerAddress:      document.Get(t, "peer-address", document.Setting[string]{Optional: true, Check: document.Address}),
		Seeds:            t.Strings("seeds", true, document.Address),
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
		RulesDelay: document.Get(t, "rules-delay", document.Setting[time.Duration]{
			Optional: true, Default: 2 * time.Second, Check: document.Range(100*time.Millisecond, time.Hour),
		}),
		KeyLifetime: document.Get(t, "key-lifetime", document.Setting[time.Duration]{
			Optional: true, Check: document.Range(100*time.Millisecond, time.Hour),
		}),
		ColdOverage: document.Get(t, "cold-overage", document.Setting[float64]{
			Optional: true, Default: 1.5, Check: document.Range(1.0, 1e3),
		}),
		ColdSlack: document.Get(t, "cold-slack", document.Setting[float64]{
			Optional: true, Default: 8, Check: document.Range(0.0, 1e6),
		}),
		LimitWindow: document.Get(t, "limit-window", document.Setting[time.Duration]{
			Optional: true, Default: 5 * time.Second, Check: document.Range(time.Second, time.Minute),
		}),
		LimitOverage: document.Get(t, "limit-overage", document.Setting[float64]{
			Optional: true, Default: 0.1, Check: document.Range(0.0, 10.0),
		}),
		LimitSlack: document.Get(t, "limit-slack", document.Setting[float64]{
			Optional: true, Default: 20, Check: document.Range(0.0, 1e6),
		}),
		Memory:      document.Get(t, "memory", document.Setting[int]{Optional: true, Default: 256, Check: document.Range(32, 1<<20)}),
		BodyMemory:  document.Get(t, "body-memory", document.Setting[int]{Optional: true, Check: document.Range(0, 1<<20)}),
		HeadMemory:  document.Get(t, "head-memory", document.Setting[int]{Optional: true, Check: document.Range(0, 1<<20)}),
		Connections: document.Get(t, "connections", document.Setting[int]{Optional: true, Check: document.Range(0, 1<<20)}),
	}
	level := document.Get(t, "log-level", document.Setting[string]{Optional: true, Default: "info", Check: checkLogLevel})
	t.CheckUnknown()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s.LogLevel, _ = logrus.ParseLevel(level)
	return s, nil
}

func checkNotEmpty(s string) string {
	if s == "" {
		return "text expected"
	}
	return ""
}

func checkLogLevel(s string) string {
	if _, err := logrus.ParseLevel(s); err != nil {
		return "a level such as info expected"
	}
	return ""
}

// MaxKeyAge returns the age of the rules up to which keys are accepted, or 0 for no bound. It leaves three tenths of the lifetime,
// because a watch of the store may hide changes for 1 s before the store ends it.
func (s *Settings) MaxKeyAge() time.Duration {
	return s.KeyLifetime * 7 / 10
}
