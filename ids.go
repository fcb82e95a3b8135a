package currantwood

// CustomerID identifies a customer as declared in the rules file.
type CustomerID string

// RuleID identifies a rule within one rules text.
type RuleID string

// RequestID identifies one request of a client. It is unique across entries and
// does not change when the client reconnects to resume a stream.
type RequestID string

// GenerationID identifies one run of a model for a request. Running the request
// again starts a new generation. Entries and sides never mix tokens of two
// generations; a gateway does so only on routes that are Resumable.
type GenerationID string

// UpstreamID identifies one upstream: a model engine or a plain service.
type UpstreamID string

// SoftwareVersion is the version of an upstream's software, which is unrelated to the
// version of a model's weights. Versions have no order.
type SoftwareVersion string

// GroupID identifies a set of interchangeable upstreams.
type GroupID string

// VMID identifies a VM in the platform's VM list.
type VMID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region.
type RegionID string

// ModelID identifies a model.
type ModelID string

// PrefixID identifies a prompt prefix that an engine may have cached.
type PrefixID uint64

// PartID identifies a part of a prompt, which other prompts may have, too.
type PartID string

// OperationKey is the value of the client's Idempotency-Key header.
type OperationKey string

// AttemptID identifies one attempt at an operation by one side process.
type AttemptID string

// Incarnation identifies one run of a process, from start to exit. The process
// chooses it at random when it starts, so incarnations aren't ordered, unlike
// UpstreamRecord.Incarnation.
type Incarnation uint64

// Fingerprint is a hash of a request's input.
type Fingerprint uint64

// PublicationID identifies one publication of a rules text. The publisher
// chooses it at random before the first append.
type PublicationID string

// StreamName is the name of a stream of records in the log service.
type StreamName string

// EngineStreamID identifies a stream at an engine. The side chooses it.
type EngineStreamID string
