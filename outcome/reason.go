package outcome

// Reason is the reason of a NotRun or Unknown outcome in kebab case, as sent on the wire.
type Reason string

// Reasons of NotRun.
const (
	// BadRequest marks a request that violates the protocol, a limit or the configuration.
	BadRequest Reason = "bad-request"
	// TooLarge marks a body or header above its limit.
	TooLarge Reason = "too-large"
	// KeyReused marks a key that was used with another request.
	KeyReused Reason = "key-reused"
	// LedgerFull marks a non-idempotent request whose key did not fit into the ledger.
	LedgerFull Reason = "ledger-full"
	// DeadlineUnreachable marks a request that could not be answered before its deadline.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// QueueFull marks a request that was displaced from a full queue.
	QueueFull Reason = "queue-full"
	// NoUpstream marks a request for which no upstream was usable.
	NoUpstream Reason = "no-upstream"
	// NoFreeSlot marks a spilled request that found no free slot.
	NoFreeSlot Reason = "no-free-slot"
	// Refused marks a request that upstreams refused before running it.
	Refused Reason = "refused"
	// Quarantined marks a request whose fingerprint crashed several upstreams.
	Quarantined Reason = "quarantined"
	// Isolated marks a request at an entry VM that has contact with neither the store nor any peer.
	Isolated Reason = "isolated"
	// NotReady marks a request at an entry VM that does not serve: it has no confirmed configuration yet, the fleet
	// already has its maximum of entry VMs, or another process has taken over its name.
	NotReady Reason = "not-ready"
	// TooDeep marks a request nested deeper than the limit.
	TooDeep Reason = "too-deep"
	// Unreachable marks a request that could not be delivered at all.
	Unreachable Reason = "unreachable"
	// Scarce marks a request that was refused at once because too few of those that waited lately were served.
	Scarce Reason = "scarce"
	// Limited marks a request that would exceed the limits that the upstreams stated.
	Limited Reason = "limited"
	// Evacuated marks a request of a service all of whose usable upstreams are in evacuated failure domains.
	Evacuated Reason = "evacuated"
	// NoMemory marks a request whose body was cut off because the memory for bodies was used up.
	NoMemory Reason = "no-memory"
	// CutOff marks a request at a VM that reaches no upstream, and no other VM that does.
	CutOff Reason = "cut-off"
	// Cancelled marks a request whose caller disconnected.
	Cancelled Reason = "cancelled"
)

// Reasons of Unknown.
const (
	// Timeout marks a request that was sent and not answered before its deadline.
	Timeout Reason = "timeout"
	// ConnectionLost marks a request whose connection broke after bytes of it were written.
	ConnectionLost Reason = "connection-lost"
	// Truncated marks an answer that ended early or exceeded its limit.
	Truncated Reason = "truncated"
	// Mismatched marks an answer that names another request.
	Mismatched Reason = "mismatched"
	// Unconfirmed marks an answer that says like a refusal that the request did not run, without being one.
	Unconfirmed Reason = "unconfirmed"
	// KeyExpired marks a key whose record may already have been deleted.
	KeyExpired Reason = "key-expired"
	// HomeGone marks a key whose incarnation is no longer reachable.
	HomeGone Reason = "home-gone"
	// KeyUsed marks a refused request whose key was used by an earlier request that may have run.
	KeyUsed Reason = "key-used"
	// AnswerNotKept marks a repeated key whose first request got an answer too large to store.
	AnswerNotKept Reason = "answer-not-kept"
)
