package entryserver

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
)

const (
	// pathOperations, followed by an operation's ID, is the path that returns the
	// operation's outcome. GET requests to it are not matched to rules.
	pathOperations = "/operations/"
	// operationQueryTimeout bounds one query of an outcome.
	operationQueryTimeout = 5 * time.Second
)

func isOperationQuery(r *http.Request) bool {
	return r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, pathOperations)
}

// serveOperationQuery responds with the recorded response of an operation, or with a
// refusal that says what is known of its outcome.
func (s *Server) serveOperationQuery(w http.ResponseWriter, r *http.Request, now time.Time) {
	response, refusal := s.queryOperation(r)
	s.requestMetrics.countEnd(time.Since(now), refusal)
	if refusal != nil {
		s.refuser.Write(w, refusal)
		return
	}
	writeServiceResponse(w, response)
}

func (s *Server) queryOperation(r *http.Request) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	rules, customer, refusal := s.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	id := strings.TrimPrefix(r.URL.Path, pathOperations)
	operation, err := ledger.ParseOperationID(customer.ID, id)
	if err != nil {
		return nil, currantwood.NewRefusal(currantwood.KindBadRequest, step, err.Error(), 0)
	}
	rule, known := rules.Rule(operation.Rule)
	if !known {
		refusal = currantwood.NewRefusal(currantwood.KindNotFound, step, "the operation's rule is not in force any more", 0)
		refusal.Ran = currantwood.RanUnknown
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationQueryTimeout)
	defer cancel()
	return s.options.Calls.QueryOutcome(ctx, currantwood.RequestID(uuid.NewString()), operation, rule)
}
