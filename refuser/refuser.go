// Package refuser writes refusals as HTTP responses with problem details (RFC 9457),
// which hold the refusal's kind, whether the work ran, and the retry delay.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/currantwood/currantwood"
)

// problemTypePrefix, followed by the kind, is the problem type. Clients may rely on
// it.
const problemTypePrefix = "urn:currantwood:refusal:"

// Refuser maps refusals to HTTP responses. It is stateless.
type Refuser struct{}

// New returns a Refuser.
func New() *Refuser { return &Refuser{} }

// problem is the response body of a refusal.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	// Operation is the ID for GET /operations/{id}, which returns the outcome.
	Operation string `json:"operation,omitempty"`
	// RetryAfterMS is absent if a retry cannot succeed.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// Write writes the refusal as the response.
func (r *Refuser) Write(w http.ResponseWriter, refusal *currantwood.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(refusal.RetryAfter), 10))
	}
	if refusal.Kind == currantwood.KindUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status(refusal.Kind))
	_, _ = w.Write(r.Body(refusal))
}

// Body returns the refusal's problem details as one line of JSON.
func (r *Refuser) Body(refusal *currantwood.Refusal) []byte {
	body, err := json.Marshal(problem{
		Type:         problemTypePrefix + refusal.Kind.String(),
		Title:        title(refusal.Kind),
		Status:       r.Status(refusal.Kind),
		Detail:       refusal.Detail,
		Kind:         refusal.Kind.String(),
		Ran:          refusal.Ran.String(),
		Operation:    refusal.Operation,
		RetryAfterMS: ceilMilliseconds(refusal.RetryAfter),
	})
	if err != nil {
		panic(err) // unreachable: the struct holds only strings and integers
	}
	return append(body, '\n')
}

// Status returns the HTTP status code of a kind.
func (r *Refuser) Status(kind currantwood.Kind) int {
	switch kind {
	case currantwood.KindBadRequest, currantwood.KindOperationKeyRequired:
		return http.StatusBadRequest
	case currantwood.KindUnauthorized:
		return http.StatusUnauthorized
	case currantwood.KindNoRule, currantwood.KindNotFound:
		return http.StatusNotFound
	case currantwood.KindInProgress, currantwood.KindTakenOver:
		return http.StatusConflict
	case currantwood.KindOperationKeyExpired:
		return http.StatusGone
	case currantwood.KindOperationKeyConflict, currantwood.KindQuarantined:
		return http.StatusUnprocessableEntity
	case currantwood.KindOverLimit:
		return http.StatusTooManyRequests
	case currantwood.KindGenerationLost, currantwood.KindLinkLost, currantwood.KindUpstreamError, currantwood.KindUpstreamCrash:
		return http.StatusBadGateway
	case currantwood.KindNoCapacity, currantwood.KindNoUpstream, currantwood.KindLogDown, currantwood.KindShuttingDown, currantwood.KindNotReady:
		return http.StatusServiceUnavailable
	case currantwood.KindDeadline, currantwood.KindOutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
