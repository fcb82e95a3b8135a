package currantwood

// Class is the kind of work that a rule routes.
type Class uint8

// The classes of work. ClassStream and ClassCheck are generations and run on model
// engines, the others are calls to plain services. Checks, the generations of
// ClassCheck, are expected to have only a few tokens. A side starts queued checks
// before queued generations of ClassStream.
const (
	ClassStream  Class = iota + 1 // stream
	ClassCheck                    // check
	ClassLookup                   // lookup
	ClassBooking                  // booking
	ClassPayment                  // payment
)

// Ran tells whether refused work was executed by an upstream.
type Ran uint8

// The execution states of refused work, as known when the final response is
// sent.
const (
	NotRun     Ran = iota + 1 // not-run
	RanUnknown                // unknown
	RanDone                   // ran
)

// Kind is the reason for a refusal. Its text and its number are stable.
type Kind uint8

// The refusal kinds. docs/operators/refusals.md describes each.
const (
	KindBadRequest           Kind = iota + 1 // bad-request
	KindUnauthorized                         // unauthorized
	KindNoRule                               // no-rule
	KindOperationKeyRequired                 // key-required
	KindOperationKeyConflict                 // key-conflict
	KindOperationKeyExpired                  // key-expired
	KindOverLimit                            // over-limit
	KindNoCapacity                           // no-capacity
	KindNoUpstream                           // no-upstream
	KindDeadline                             // deadline
	KindQuarantined                          // quarantined
	KindLogDown                              // log-down
	KindGenerationLost                       // generation-lost
	KindOutcomeUnknown                       // outcome-unknown
	KindShuttingDown                         // shutting-down
	KindLinkLost                             // link-lost
	KindUpstreamError                        // upstream-error
	KindUpstreamCrash                        // upstream-crash
	KindNotReady                             // not-ready
	KindInternal                             // internal
	KindNotFound                             // not-found
	KindInProgress                           // in-progress
	KindTakenOver                            // taken-over
)

// lastKind is the last constant of the block above; Kinds iterates up to it.
const lastKind = KindTakenOver

// Role is the kind of process that a VM runs.
type Role uint8

// The roles that appear in the VM list. An entry accepts requests from clients. A
// side runs beside one upstream and passes requests from entries to it.
const (
	RoleEntry Role = iota + 1 // entry
	RoleSide                  // side
)

// UpstreamKind is the kind of an upstream, which determines its protocol.
type UpstreamKind uint8

// The upstream kinds.
const (
	UpstreamEngine  UpstreamKind = iota + 1 // engine
	UpstreamService                         // service
)

// Pool is the set of engines of one model that run the same inference phases.
type Pool uint8

// The pools that an OrderSetPool order can assign an engine to.
const (
	PoolMixed   Pool = iota + 1 // mixed
	PoolPrefill                 // prefill
	PoolDecode                  // decode
)

// EventKind is the kind of an event in a token stream from an engine.
type EventKind uint8

// The kinds of event in a token stream.
const (
	EventToken EventKind = iota + 1 // token
	EventDone                       // done
)

// OrderKind is the kind of an administrative command to an engine.
type OrderKind uint8

// The commands that engines accept.
const (
	OrderLoadModel   OrderKind = iota + 1 // load-model
	OrderLoadAdapter                      // load-adapter
	OrderSetVersion                       // set-version
	OrderSetPool                          // set-pool
)
