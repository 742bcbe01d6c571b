package store

// Result is the result of a Put: Swapped, Conflict, Uncertain or Rejected.
type Result interface {
	isResult()
}

// Swapped means that the value was written.
type Swapped struct {
	// Version is the key's new version.
	Version uint64
}

// Conflict means that the key has another version than expected and that this call wrote nothing.
type Conflict struct {
	// Version is the key's version.
	Version uint64
}

// Uncertain means that the write may have taken effect, may still take effect, or may never do so.
type Uncertain struct {
	Cause error
}

// Rejected means that this call wrote nothing and never will.
type Rejected struct {
	Cause error
	// Temporary reports whether the same call may succeed later.
	Temporary bool
}

func (Swapped) isResult()   {}
func (Conflict) isResult()  {}
func (Uncertain) isResult() {}
func (Rejected) isResult()  {}
