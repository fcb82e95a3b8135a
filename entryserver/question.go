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
	// pathOperations and an operation's id ask for the operation's outcome.
	// Rules can't route this path.
	pathOperations = "/operations/"
	// questionTimeout bounds the answer to a question.
	questionTimeout = 5 * time.Second
)

func isQuestion(r *http.Request) bool {
	return r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, pathOperations)
}

// question answers what became of an operation: with its recorded answer, or
// with a refusal that says what is known.
func (s *Server) question(w http.ResponseWriter, r *http.Request, now time.Time) {
	answer, refusal := s.ask(r)
	s.meters.end(time.Since(now), refusal)
	if refusal != nil {
		s.refuser.Write(w, refusal)
		return
	}
	write(w, answer)
}

func (s *Server) ask(r *http.Request) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	rules, customer, refusal := s.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	id := strings.TrimPrefix(r.URL.Path, pathOperations)
	scope, err := ledger.ParseOperationID(customer.ID, id)
	if err != nil {
		return nil, currantwood.NewRefusal(currantwood.KindBadRequest, step, err.Error(), 0)
	}
	rule, known := rules.Rule(scope.Rule)
	if !known {
		refusal = currantwood.NewRefusal(currantwood.KindNotFound, step, "the operation's rule is not in force any more", 0)
		refusal.Ran = currantwood.RanUnknown
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(r.Context(), questionTimeout)
	defer cancel()
	return s.options.Calls.Ask(ctx, currantwood.RequestID(uuid.NewString()), scope, rule)
}
