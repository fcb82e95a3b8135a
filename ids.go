package currantwood

// CustomerID names a customer as the rules file declares it.
type CustomerID string

// RuleID names a rule within one rules text.
type RuleID string

// RequestID names one request of a caller. It is unique across entries and
// stays the same when the caller reconnects to resume.
type RequestID string

// GenerationID names one run of a model for a request. A request that is run
// anew gets a new generation; tokens of two generations are never mixed.
type GenerationID string

// UpstreamID names one upstream: a model engine or a plain service.
type UpstreamID string

// GroupID names a set of upstreams that serve the same work.
type GroupID string

// VMID names a VM in the platform's VM list.
type VMID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region.
type RegionID string

// ModelID names a model.
type ModelID string

// PrefixID names a prompt prefix that an engine may hold in its cache.
type PrefixID uint64

// OperationKey is the caller's Idempotency-Key.
type OperationKey string

// AttemptID names one try at an operation by one side process.
type AttemptID string

// Incarnation names one life of a process. It is drawn at random at start.
type Incarnation uint64

// Fingerprint is a hash of a request's input.
type Fingerprint uint64

// PublicationID names one publication of a rules text. It is drawn at random
// by the publisher before the first append.
type PublicationID string

// StreamName names a stream of records in the log service.
type StreamName string

// EngineStreamID names a stream at an engine, chosen by the side.
type EngineStreamID string
