package currantwood

import "time"

// TokenIndex is the zero-based position of a token in its generation.
type TokenIndex uint64

// TokenCount is a number of tokens. Engine memory is measured in tokens of
// key-value cache.
type TokenCount int64

// TokenSeconds is engine memory integrated over time, in token-seconds.
type TokenSeconds float64

// Offset is the zero-based position of a record in a stream of the log service.
type Offset uint64

// Revision numbers the accepted publications of the rules, starting at 1.
type Revision uint64

// FencingNumber ranks the owners of an engine: the log offset of the owner's
// claim plus 1, so that 0 means no claim.
type FencingNumber uint64

// Priority is the priority of work at an engine, from 0 to 9; higher runs first.
type Priority uint8

// Share is a fraction of a whole, from 0 to 1.
type Share float64

// StallThreshold is the gap between two tokens above which the excess counts as
// stall time.
const StallThreshold = 200 * time.Millisecond
