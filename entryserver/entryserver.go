// Package entryserver implements the HTTP handler of an entry process. It
// authenticates each request, reads it and matches a rule. It admits generations
// within the customer's fair share and forwards them; it forwards calls of plain
// services without a limit. Both go to sides, the processes beside the upstreams.
package entryserver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/observer"
	"github.com/currantwood/currantwood/promiser"
	"github.com/currantwood/currantwood/refuser"
	"github.com/currantwood/currantwood/requestkeeper"
	"github.com/currantwood/currantwood/tracer"
)

const (
	// step names this pipeline stage in refusals and errors.
	step = "entryserver"
	// retryAfterNotReady is the Retry-After of an entry without rules.
	retryAfterNotReady = time.Second
	// bearerPrefix precedes the API key in the Authorization header.
	bearerPrefix = "Bearer "
)

// Call is one call of a plain service, with its matched rule.
type Call struct {
	Request  currantwood.RequestID
	Customer currantwood.CustomerID
	Rule     currantwood.Rule
	// ReceivedAt is when the call was received. The rule's deadline counts from it.
	ReceivedAt time.Time
	// HTTPRequest is the client's request. Its body has been read into Body.
	HTTPRequest *http.Request
	Body        []byte
}

// CallForwarder forwards calls of plain services to the sides of these services.
type CallForwarder interface {
	// Forward returns either a response or a refusal.
	Forward(ctx context.Context, call Call) (*currantwood.ServiceResponse, *currantwood.Refusal)
	// QueryOutcome returns the recorded response of an operation, which is a call with an
	// Idempotency-Key, or a refusal that says what is known of its outcome. It
	// doesn't run the operation.
	QueryOutcome(ctx context.Context, request currantwood.RequestID, operation ledger.Scope, rule currantwood.Rule) (*currantwood.ServiceResponse, *currantwood.Refusal)
}

// Options configures a Server.
type Options struct {
	Region currantwood.RegionID
	// Matcher returns the matcher of the rules in force, or nil before the first
	// rules were received.
	Matcher   func() *matcher.Matcher
	Forwarder *forwarder.Forwarder
	Calls     CallForwarder
	Limiter   currantwood.Limiter
	// Promiser assigns retry times to generations that are refused for lack of
	// capacity or because the customer is over its limit.
	Promiser *promiser.Promiser
	// Observer measures requests against the service-level objectives.
	Observer *observer.Observer
	// RecentRequests keeps the last served generations for workload traces.
	RecentRequests *requestkeeper.Keeper
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	Metrics      metrics.Registry
	Logger       *zap.Logger
}

// Server handles the requests of clients. It implements http.Handler.
type Server struct {
	options        Options
	refuser        *refuser.Refuser
	requestMetrics *requestMetrics
	// handlers counts the running calls of ServeHTTP.
	handlers sync.WaitGroup
}

// New returns a Server and registers its metrics.
func New(options Options) *Server {
	return &Server{options: options, refuser: refuser.New(), requestMetrics: newRequestMetrics(options.Metrics)}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.requestMetrics.inFlight.Count() }

// Wait blocks until no call of ServeHTTP is running.
func (s *Server) Wait() { s.handlers.Wait() }

// request is a client request that was authenticated and matched to a rule.
type request struct {
	id         currantwood.RequestID
	receivedAt time.Time
	customer   currantwood.Customer
	rule       currantwood.Rule
	body       []byte
	// generation is nil for a call of a plain service.
	generation *generationRequest
	// resumeFrom is the position from which a reconnecting client resumes; nil for
	// a new request.
	resumeFrom *currantwood.Position
	// restartDeclared is set if the client has declared that it handles restart
	// events. Such an event voids the tokens received so far; a new generation
	// follows from index 0.
	restartDeclared bool
}

// ServeHTTP serves one client request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.Add(1)
	s.requestMetrics.inFlight.Inc(1)
	defer s.handlers.Done()
	defer s.requestMetrics.inFlight.Dec(1)
	now := time.Now()
	if isOperationQuery(r) {
		s.serveOperationQuery(w, r, now)
		return
	}
	req, refusal := s.receive(w, r, now)
	if refusal != nil {
		s.requestMetrics.countEnd(time.Since(now), refusal)
		s.refuser.Write(w, refusal)
		return
	}
	if req.generation != nil {
		s.serveGeneration(w, r, req)
		return
	}
	s.serveCall(w, r, req)
}

// authenticate returns the matcher of the rules in force and the customer of the
// request's API key.
func (s *Server) authenticate(r *http.Request) (*matcher.Matcher, currantwood.Customer, *currantwood.Refusal) {
	rules := s.options.Matcher()
	if rules == nil {
		return nil, currantwood.Customer{}, currantwood.NewRefusal(currantwood.KindNotReady, step, "this entry has no rules yet", retryAfterNotReady)
	}
	customer, known := rules.CustomerByAPIKey(apiKey(r))
	if !known {
		return nil, currantwood.Customer{}, currantwood.NewRefusal(currantwood.KindUnauthorized, step, "the key in Authorization is not known", 0)
	}
	return rules, customer, nil
}

// receive authenticates and reads a request and matches its rule.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, now time.Time) (request, *currantwood.Refusal) {
	rules, customer, refusal := s.authenticate(r)
	if refusal != nil {
		return request{}, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		return request{}, currantwood.NewRefusal(currantwood.KindBadRequest, step, "body could not be read: "+err.Error(), 0)
	}
	req := request{id: currantwood.RequestID(uuid.NewString()), receivedAt: now, customer: customer, body: body}
	if refusal := readGenerationRequest(r, &req); refusal != nil {
		return request{}, refusal
	}
	var model currantwood.ModelID
	if req.generation != nil {
		model = currantwood.ModelID(req.generation.Model)
	}
	rule, matched := rules.Match(matcher.Request{Customer: customer.ID, Method: r.Method, Path: r.URL.Path, Model: model})
	if !matched || (req.generation != nil) != isGenerationClass(rule.Class) {
		return request{}, currantwood.NewRefusal(currantwood.KindNoRule, step, "no rule matches this customer, method, path and model", 0)
	}
	req.rule = rule
	return req, nil
}

// readGenerationRequest sets the fields of req that only a generation has. It does
// nothing for other requests.
func readGenerationRequest(r *http.Request, req *request) *currantwood.Refusal {
	if !isGenerationRequest(r) {
		return nil
	}
	var err error
	if req.generation, err = parseGenerationRequest(r.URL.Path, req.body); err != nil {
		return currantwood.NewRefusal(currantwood.KindBadRequest, step, err.Error(), 0)
	}
	req.restartDeclared = r.Header.Get(headerAcceptRestart) == "true"
	lastEventID := r.Header.Get(headerLastEventID)
	if lastEventID == "" || !req.generation.Stream {
		return nil
	}
	position, err := currantwood.ParsePosition(lastEventID)
	if err != nil {
		return currantwood.NewRefusal(currantwood.KindBadRequest, step, headerLastEventID+": "+err.Error(), 0)
	}
	req.resumeFrom = &position
	req.id = position.Request
	return nil
}

// demand returns the routing input of a generation.
func (s *Server) demand(req request) currantwood.Demand {
	return currantwood.Demand{
		Request:      req.id,
		Customer:     req.customer.ID,
		Rule:         req.rule.ID,
		Class:        req.rule.Class,
		Priority:     req.rule.Priority,
		Model:        currantwood.ModelID(req.generation.Model),
		PromptTokens: req.generation.estimatedTokens(),
		Prefix:       req.generation.prefixID(),
		MaxTokens:    req.generation.maxTokens(),
		Deadline:     req.receivedAt.Add(req.rule.Deadline),
		Region:       s.options.Region,
		Weight:       req.customer.Weight,
	}
}

// serveGeneration admits and forwards a generation and writes its response. A
// reconnecting client was admitted before, so it is admitted again only if the
// forwarder has to start a new generation.
func (s *Server) serveGeneration(w http.ResponseWriter, r *http.Request, req request) {
	demand := s.demand(req)
	fingerprint := currantwood.Fingerprint(xxhash.Sum64(req.body))
	demand.Promised = s.options.Promiser.ClaimSlot(req.receivedAt, req.customer.ID, fingerprint)
	admitted := false
	admit := func(now time.Time) *currantwood.Refusal {
		verdict := s.options.Limiter.Admit(now, demand)
		admitted = verdict.Refusal == nil
		return verdict.Refusal
	}
	if req.resumeFrom == nil {
		if refusal := admit(req.receivedAt); refusal != nil {
			s.assignRetryAfter(req, fingerprint, refusal)
			s.recordEnd(req, refusal)
			s.refuser.Write(w, refusal)
			return
		}
	}
	writer := newGenerationWriter(w, req)
	writer.deliveredTokens = s.requestMetrics.tokens
	writer.observation = s.options.Observer.Begin(req.receivedAt, req.customer.ID, req.rule.ID)
	completion, refusal := s.options.Forwarder.Forward(r.Context(), forwarder.Request{
		Demand:          demand,
		Group:           req.rule.Group,
		Fingerprint:     fingerprint,
		Body:            req.body,
		Resume:          req.resumeFrom,
		Admit:           admit,
		Streamed:        req.generation.Stream,
		RestartDeclared: req.restartDeclared,
	}, writer)
	if admitted {
		s.options.Limiter.Done(time.Now(), req.customer.ID, req.id, completion.TokenSeconds)
	}
	writer.observation.End(time.Now(), refusal == nil)
	if refusal != nil {
		s.assignRetryAfter(req, fingerprint, refusal)
	} else if req.rule.Class == currantwood.ClassStream {
		s.options.Promiser.RecordStreamEnd(time.Now())
	}
	s.recordEnd(req, refusal)
	writer.finish(completion, refusal, s.refuser)
	if refusal == nil {
		s.options.RecentRequests.Add(req.receivedAt, workloadRecord(demand, req.rule, completion))
	}
}

// assignRetryAfter sets the retry delay of a generation that was refused for lack of
// capacity or because the customer is over its limit. The delay ends at the retry time
// that the promiser assigns to the generation.
func (s *Server) assignRetryAfter(req request, fingerprint currantwood.Fingerprint, refusal *currantwood.Refusal) {
	getsRetryTime := refusal.Kind == currantwood.KindNoCapacity || refusal.Kind == currantwood.KindOverLimit
	if refusal.Ran == currantwood.NotRun && getsRetryTime {
		refusal.RetryAfter = s.options.Promiser.AssignSlot(time.Now(), req.customer.ID, req.customer.Weight, fingerprint, refusal.RetryAfter)
	}
}

// workloadRecord returns the record of a served generation for workload traces.
func workloadRecord(demand currantwood.Demand, rule currantwood.Rule, completion forwarder.Completion) tracer.Request {
	return tracer.Request{
		Region:       demand.Region,
		Customer:     demand.Customer,
		Rule:         demand.Rule,
		Class:        demand.Class.String(),
		Priority:     demand.Priority,
		Model:        demand.Model,
		PromptTokens: demand.PromptTokens,
		PrefixID:     demand.Prefix,
		OutputTokens: currantwood.TokenCount(completion.Tokens),
		DeadlineMs:   rule.Deadline.Milliseconds(),
	}
}

// serveCall forwards a call of a plain service and writes its response.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, req request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.receivedAt.Add(req.rule.Deadline))
	defer cancel()
	observation := s.options.Observer.Begin(req.receivedAt, req.customer.ID, req.rule.ID)
	response, refusal := s.options.Calls.Forward(ctx, Call{
		Request: req.id, Customer: req.customer.ID, Rule: req.rule, ReceivedAt: req.receivedAt, HTTPRequest: r, Body: req.body,
	})
	observation.End(time.Now(), refusal == nil)
	s.recordEnd(req, refusal)
	if refusal != nil {
		s.refuser.Write(w, refusal)
		return
	}
	writeServiceResponse(w, response)
}

func writeServiceResponse(w http.ResponseWriter, response *currantwood.ServiceResponse) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// recordEnd counts and logs the end of a request that matched a rule.
func (s *Server) recordEnd(req request, refusal *currantwood.Refusal) {
	elapsed := time.Since(req.receivedAt)
	s.requestMetrics.countEnd(elapsed, refusal)
	fields := []zap.Field{
		zap.String("request-id", string(req.id)),
		zap.String("customer", string(req.customer.ID)),
		zap.String("rule", string(req.rule.ID)),
		zap.Duration("took", elapsed),
	}
	if refusal == nil {
		s.options.Logger.Debug("request served", fields...)
		return
	}
	s.options.Logger.Info("request not completed", append(fields,
		zap.Stringer("kind", refusal.Kind), zap.Stringer("ran", refusal.Ran),
		zap.String("step", refusal.Step), zap.String("peer", refusal.Peer), zap.String("detail", refusal.Detail))...)
}

func apiKey(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

func isGenerationRequest(r *http.Request) bool {
	return r.Method == http.MethodPost && (r.URL.Path == pathCompletions || r.URL.Path == pathChat)
}

func isGenerationClass(class currantwood.Class) bool {
	return class == currantwood.ClassStream || class == currantwood.ClassCheck
}
