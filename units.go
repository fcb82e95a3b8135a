package currantwood

import "time"

// TokenIndex is the position of a token in its generation, from 0.
type TokenIndex uint64

// TokenCount is a number of tokens. Engine memory is counted in tokens of
// key-value cache.
type TokenCount int64

// TokenSeconds is engine memory held over time, in tokens times seconds.
type TokenSeconds float64

// Offset is the position of a record in a stream of the log service, from 0.
type Offset uint64

// Revision counts the accepted publications of the rules, from 1.
type Revision uint64

// FencingNumber orders the owners of an engine: the log offset of the owner's
// claim plus one, so that 0 means no claim.
type FencingNumber uint64

// Priority orders work at an engine; higher runs first. The range is 0 to 9.
type Priority uint8

// Share is a part of a whole, from 0 to 1.
type Share float64

// StallBound is the gap between two tokens beyond which time is a stall.
const StallBound = 200 * time.Millisecond
