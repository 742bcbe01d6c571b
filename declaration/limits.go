package declaration

import "time"

// MaxTimeout is the longest timeout of a kind. A request key expires 60 s after it was made, so a longer
// request could outlive the record of its key.
const MaxTimeout = time.Minute
