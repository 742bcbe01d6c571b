package settings

import "time"

// Settings are the validated settings of one process.
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
	// Peers are the peer addresses to try while the VM list is unavailable.
	Peers []string
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
	// Memory is the memory that the process may use, in MiB.
	Memory int
	// BodyMemory bounds the bodies of requests and answers that are held, in MiB; 0 stands for a quarter of Memory.
	BodyMemory int
	// LogLevel is one of debug, info, warning and error.
	LogLevel string
}
