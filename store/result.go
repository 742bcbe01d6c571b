package store

// Result tells what became of a Put: Swapped, Conflict, Uncertain or Rejected.
type Result interface {
	isResult()
}

// Swapped says that the value was written.
type Swapped struct {
	// Version is the key's new version.
	Version uint64
}

// Conflict says that the key has another version than expected and that this call wrote nothing.
type Conflict struct {
	// Version is the key's version.
	Version uint64
}

// Uncertain says that the write may have taken effect, may still do so, or never will.
type Uncertain struct {
	Cause error
}

// Rejected says that this call wrote nothing and never will.
type Rejected struct {
	Cause error
	// Temporary tells whether the same call may succeed later.
	Temporary bool
}

func (Swapped) isResult()   {}
func (Conflict) isResult()  {}
func (Uncertain) isResult() {}
func (Rejected) isResult()  {}
