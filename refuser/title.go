package refuser

import "github.com/currantwood/currantwood"

// title returns the problem title of a kind, one sentence that all refusals of the
// kind share.
func title(kind currantwood.Kind) string {
	switch kind {
	case currantwood.KindBadRequest:
		return "The request is malformed."
	case currantwood.KindUnauthorized:
		return "The key in Authorization is missing or unknown."
	case currantwood.KindNoRule:
		return "No rule matches the request."
	case currantwood.KindOperationKeyRequired:
		return "The request needs an Idempotency-Key."
	case currantwood.KindOperationKeyConflict:
		return "The Idempotency-Key was used with another request."
	case currantwood.KindOperationKeyExpired:
		return "The Idempotency-Key may be older than the log remembers."
	case currantwood.KindOverLimit:
		return "The customer is over its limit."
	case currantwood.KindNoCapacity:
		return "No upstream has room."
	case currantwood.KindNoUpstream:
		return "No upstream is known that serves the request."
	case currantwood.KindDeadline:
		return "The deadline passed."
	case currantwood.KindQuarantined:
		return "The request has crashed upstreams and is not run again."
	default:
		return remainingTitle(kind)
	}
}

// remainingTitle returns the title of a kind that title doesn't list.
func remainingTitle(kind currantwood.Kind) string {
	switch kind {
	case currantwood.KindLogDown:
		return "The log service is down, so the operation can't be recorded."
	case currantwood.KindGenerationLost:
		return "The generation was lost and can't be resumed."
	case currantwood.KindOutcomeUnknown:
		return "The operation may have run; its outcome is not known."
	case currantwood.KindInProgress:
		return "The operation is still running."
	case currantwood.KindTakenOver:
		return "Another request reads on from this stream."
	case currantwood.KindShuttingDown:
		return "The process is shutting down."
	case currantwood.KindLinkLost:
		return "The connection to the upstream's side was lost."
	case currantwood.KindUpstreamError:
		return "The upstream failed."
	case currantwood.KindUpstreamCrash:
		return "The upstream crashed."
	case currantwood.KindNotReady:
		return "The process is not ready."
	case currantwood.KindNotFound:
		return "Nothing is known under this id."
	default:
		return "Internal error."
	}
}
