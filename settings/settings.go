package settings

import "time"

// Settings are the checked settings of one process.
type Settings struct {
	// Name identifies the VM in logs, events and status.
	Name string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Address is the IP address and port for callers and operators.
	Address string
	// PeerAddress is the IP address and port for other entry VMs.
	PeerAddress string
	// StoreAddress and VMListAddress are the platform's endpoints.
	StoreAddress, VMListAddress string
	// Peers are peer addresses to try when the VM list is down.
	Peers []string
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// LogLevel is one of debug, info, warning and error.
	LogLevel string
}
