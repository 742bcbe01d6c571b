package notice

import "time"

// Notice is what one answer of an upstream states about the upstream. The zero value states nothing.
type Notice struct {
	// Limit is the number of requests per second that the upstream takes from the whole fleet; it is valid if HasLimit is
	// true. An answer without a limit ends an earlier one.
	Limit    float64
	HasLimit bool
	// Leaving reports whether the upstream is about to end.
	Leaving bool
	// RetryAfter is the time for which the upstream wants no requests from this VM, or 0.
	RetryAfter time.Duration
	// Cold is the time for which the upstream stays cold; it is valid if HasCold is true. An answer without it changes nothing.
	Cold    time.Duration
	HasCold bool
	// LimitErr, RetryAfterErr and ColdErr tell why a statement could not be read. An unreadable statement changes nothing.
	LimitErr, RetryAfterErr, ColdErr error
}

// State is what holds for an upstream at one moment.
type State struct {
	// Limit is the latest limit in requests per second; it is valid if HasLimit is true.
	Limit    float64
	HasLimit bool
	// LimitAge is the time since an answer last stated the limit, and LimitEnded the time since an answer stated none, which
	// is 0 while the limit holds.
	LimitAge, LimitEnded time.Duration
	// Leaving reports whether the upstream is about to end.
	Leaving bool
	// PausedFor is the time for which the upstream still wants no requests from this VM, or 0.
	PausedFor time.Duration
	// WarmAt is the time at which the upstream reaches its full speed, by its entry or by a later answer.
	WarmAt time.Time
	// PolledAt is the time at which the latest health answer was asked for; it is zero unless health answers are tracked.
	PolledAt time.Time
}
