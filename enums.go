package currantwood

// Class says what kind of work a rule routes.
type Class uint8

// The classes of work. Stream and check run on model engines, the others on
// plain services.
const (
	ClassStream  Class = iota + 1 // stream
	ClassCheck                    // check
	ClassLookup                   // lookup
	ClassBooking                  // booking
	ClassPayment                  // payment
)

// Ran says whether refused work was run.
type Ran uint8

// What is known of the work at the time of its final answer.
const (
	NotRun     Ran = iota + 1 // not-run
	RanUnknown                // unknown
	RanDone                   // ran
)

// Kind is the stable name of a refusal.
type Kind uint8

// The kinds of refusal. docs/operators/refusals.md explains each.
const (
	KindBadRequest     Kind = iota + 1 // bad-request
	KindUnauthorized                   // unauthorized
	KindNoRule                         // no-rule
	KindKeyRequired                    // key-required
	KindKeyConflict                    // key-conflict
	KindKeyExpired                     // key-expired
	KindOverLimit                      // over-limit
	KindNoCapacity                     // no-capacity
	KindNoUpstream                     // no-upstream
	KindDeadline                       // deadline
	KindQuarantined                    // quarantined
	KindLogDown                        // log-down
	KindGenerationLost                 // generation-lost
	KindOutcomeUnknown                 // outcome-unknown
	KindShuttingDown                   // shutting-down
	KindLinkLost                       // link-lost
	KindUpstreamError                  // upstream-error
	KindUpstreamCrash                  // upstream-crash
	KindNotReady                       // not-ready
	KindInternal                       // internal
	KindNotFound                       // not-found
	KindInProgress                     // in-progress
	KindTakenOver                      // taken-over
)

// lastKind must name the last of the kinds above.
const lastKind = KindTakenOver

// Role is the part that a VM plays.
type Role uint8

// The roles in the VM list.
const (
	RoleEntry Role = iota + 1 // entry
	RoleSide                  // side
)

// UpstreamKind says how an upstream is spoken to.
type UpstreamKind uint8

// The kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = iota + 1 // engine
	UpstreamService                         // service
)

// Pool is the role of an engine among the engines of its model.
type Pool uint8

// The pools that an order may move an engine to.
const (
	PoolMixed   Pool = iota + 1 // mixed
	PoolPrefill                 // prefill
	PoolDecode                  // decode
)

// EventKind is a kind of event in a token stream from an engine.
type EventKind uint8

// The events of a token stream.
const (
	EventToken EventKind = iota + 1 // token
	EventDone                       // done
)

// OrderKind is a kind of order to an engine.
type OrderKind uint8

// The orders that engines take.
const (
	OrderLoadModel   OrderKind = iota + 1 // load-model
	OrderLoadAdapter                      // load-adapter
	OrderSetVersion                       // set-version
	OrderSetPool                          // set-pool
)
