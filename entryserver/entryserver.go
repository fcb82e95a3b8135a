// Package entryserver is the shell of the entry process towards callers. Each
// request passes the stages in order: authenticate, read, match a rule, hold the
// customer to its share, then forward a generation or call a plain service.
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
	step = "entryserver"
	// retryAfterNotReady is when to come back to an entry without rules.
	retryAfterNotReady = time.Second
	// bearerPrefix starts the Authorization header.
	bearerPrefix = "Bearer "
)

// Call is one call of a plain service on its way.
type Call struct {
	Request  currantwood.RequestID
	Customer currantwood.CustomerID
	Rule     currantwood.Rule
	// Arrival is when the call was received; the deadline counts from it.
	Arrival time.Time
	HTTP    *http.Request
	Body    []byte
}

// CallForwarder carries calls of plain services to their sides.
type CallForwarder interface {
	// Forward returns an answer or a refusal, never both.
	Forward(ctx context.Context, call Call) (*currantwood.ServiceResponse, *currantwood.Refusal)
	// Ask looks up the outcome of an operation and runs nothing.
	Ask(ctx context.Context, request currantwood.RequestID, scope ledger.Scope, rule currantwood.Rule) (*currantwood.ServiceResponse, *currantwood.Refusal)
}

// Options says what an entry needs.
type Options struct {
	Region currantwood.RegionID
	// Rules returns the rules in force; nil until a head is known.
	Rules     func() *matcher.Matcher
	Forwarder *forwarder.Forwarder
	Calls     CallForwarder
	Limiter   currantwood.Limiter
	// Promiser says when refused callers are to come back.
	Promiser *promiser.Promiser
	// Observer counts how the service-level objectives are met.
	Observer *observer.Observer
	// Recent keeps what was served for recording.
	Recent *requestkeeper.Keeper
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	Metrics      metrics.Registry
	Logger       *zap.Logger
}

// Server handles the requests of callers. It is an http.Handler.
type Server struct {
	options  Options
	refuser  *refuser.Refuser
	meters   *meters
	inFlight sync.WaitGroup
}

// New makes the handler.
func New(options Options) *Server {
	return &Server{options: options, refuser: refuser.New(), meters: newMeters(options.Metrics)}
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.meters.inFlight.Count() }

// Wait returns when no request is in flight.
func (s *Server) Wait() { s.inFlight.Wait() }

// arrival is a request that passed the stages before routing.
type arrival struct {
	id       currantwood.RequestID
	at       time.Time
	customer currantwood.Customer
	rule     currantwood.Rule
	body     []byte
	// prompt is nil for calls of plain services.
	prompt *prompt
	// resume is where a caller that reconnects goes on; nil for new requests.
	resume *currantwood.Position
	// restart says that the caller understands a restart event.
	restart bool
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	s.meters.inFlight.Inc(1)
	defer s.inFlight.Done()
	defer s.meters.inFlight.Dec(1)
	now := time.Now()
	if isQuestion(r) {
		s.question(w, r, now)
		return
	}
	a, refusal := s.receive(w, r, now)
	if refusal != nil {
		s.meters.end(time.Since(now), refusal)
		s.refuser.Write(w, refusal)
		return
	}
	if a.prompt != nil {
		s.complete(w, r, a)
		return
	}
	s.call(w, r, a)
}

// authenticate finds the customer in the rules in force.
func (s *Server) authenticate(r *http.Request) (*matcher.Matcher, currantwood.Customer, *currantwood.Refusal) {
	rules := s.options.Rules()
	if rules == nil {
		return nil, currantwood.Customer{}, currantwood.NewRefusal(currantwood.KindNotReady, step, "this entry has no rules yet", retryAfterNotReady)
	}
	customer, known := rules.CustomerByKey(callerKey(r))
	if !known {
		return nil, currantwood.Customer{}, currantwood.NewRefusal(currantwood.KindUnauthorized, step, "the key in Authorization is not known", 0)
	}
	return rules, customer, nil
}

// receive takes a request through the stages up to its rule.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, now time.Time) (arrival, *currantwood.Refusal) {
	rules, customer, refusal := s.authenticate(r)
	if refusal != nil {
		return arrival{}, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		return arrival{}, currantwood.NewRefusal(currantwood.KindBadRequest, step, "body could not be read: "+err.Error(), 0)
	}
	a := arrival{id: currantwood.RequestID(uuid.NewString()), at: now, customer: customer, body: body}
	if refusal := readPrompt(r, &a); refusal != nil {
		return arrival{}, refusal
	}
	var model currantwood.ModelID
	if a.prompt != nil {
		model = currantwood.ModelID(a.prompt.Model)
	}
	rule, matched := rules.Match(matcher.Request{Customer: customer.ID, Method: r.Method, Path: r.URL.Path, Model: model})
	if !matched || (a.prompt != nil) != generates(rule.Class) {
		return arrival{}, currantwood.NewRefusal(currantwood.KindNoRule, step, "no rule matches this customer, method, path and model", 0)
	}
	a.rule = rule
	return a, nil
}

// readPrompt takes in what is particular to a generation.
func readPrompt(r *http.Request, a *arrival) *currantwood.Refusal {
	if !isCompletion(r) {
		return nil
	}
	var err error
	if a.prompt, err = parsePrompt(r.URL.Path, a.body); err != nil {
		return currantwood.NewRefusal(currantwood.KindBadRequest, step, err.Error(), 0)
	}
	a.restart = r.Header.Get(headerRestart) == "true"
	last := r.Header.Get(headerLastEvent)
	if last == "" || !a.prompt.Stream {
		return nil
	}
	position, err := currantwood.ParsePosition(last)
	if err != nil {
		return currantwood.NewRefusal(currantwood.KindBadRequest, step, headerLastEvent+": "+err.Error(), 0)
	}
	a.resume = &position
	a.id = position.Request
	return nil
}

// demand says what is known of a generation before it is routed.
func (s *Server) demand(a arrival) currantwood.Demand {
	return currantwood.Demand{
		Request:      a.id,
		Customer:     a.customer.ID,
		Rule:         a.rule.ID,
		Class:        a.rule.Class,
		Priority:     a.rule.Priority,
		Model:        currantwood.ModelID(a.prompt.Model),
		PromptTokens: a.prompt.tokens(),
		Prefix:       a.prompt.prefix(),
		MaxTokens:    a.prompt.maxTokens(),
		Deadline:     a.at.Add(a.rule.Deadline),
		Region:       s.options.Region,
		Weight:       a.customer.Weight,
	}
}

// complete serves a generation. A caller that reconnects was admitted before;
// it is asked for anew only when a new generation has to be started.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, a arrival) {
	demand := s.demand(a)
	input := currantwood.Fingerprint(xxhash.Sum64(a.body))
	demand.Promised = s.options.Promiser.Arrived(a.at, a.customer.ID, input)
	admitted := false
	admit := func(now time.Time) *currantwood.Refusal {
		verdict := s.options.Limiter.Admit(now, demand)
		admitted = verdict.Refusal == nil
		return verdict.Refusal
	}
	if a.resume == nil {
		if refusal := admit(a.at); refusal != nil {
			s.promise(a, input, refusal)
			s.end(a, refusal)
			s.refuser.Write(w, refusal)
			return
		}
	}
	out := newAnswer(w, a)
	out.tokens = s.meters.tokens
	out.watch = s.options.Observer.Begin(a.at, a.customer.ID, a.rule.ID)
	completion, refusal := s.options.Forwarder.Forward(r.Context(), forwarder.Request{
		Demand:          demand,
		Group:           a.rule.Group,
		Fingerprint:     input,
		Body:            a.body,
		Resume:          a.resume,
		Admit:           admit,
		Streamed:        a.prompt.Stream,
		RestartDeclared: a.restart,
	}, out)
	if admitted {
		s.options.Limiter.Done(time.Now(), a.customer.ID, a.id, completion.TokenSeconds)
	}
	out.watch.End(time.Now(), refusal == nil)
	if refusal != nil {
		s.promise(a, input, refusal)
	} else if a.rule.Class == currantwood.ClassStream {
		s.options.Promiser.Finished(time.Now())
	}
	s.end(a, refusal)
	out.end(completion, refusal, s.refuser)
	if refusal == nil {
		s.options.Recent.Add(a.at, served(demand, a.rule, completion))
	}
}

// promise gives a caller that was refused for want of room the time at which it
// is served.
func (s *Server) promise(a arrival, input currantwood.Fingerprint, refusal *currantwood.Refusal) {
	room := refusal.Kind == currantwood.KindNoCapacity || refusal.Kind == currantwood.KindOverLimit
	if refusal.Ran == currantwood.NotRun && room {
		refusal.RetryAfter = s.options.Promiser.Refused(time.Now(), a.customer.ID, a.customer.Weight, input, refusal.RetryAfter)
	}
}

// served describes a served generation for a trace.
func served(demand currantwood.Demand, rule currantwood.Rule, completion forwarder.Completion) tracer.Request {
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

// call serves a call of a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request, a arrival) {
	ctx, cancel := context.WithDeadline(r.Context(), a.at.Add(a.rule.Deadline))
	defer cancel()
	watch := s.options.Observer.Begin(a.at, a.customer.ID, a.rule.ID)
	answer, refusal := s.options.Calls.Forward(ctx, Call{
		Request: a.id, Customer: a.customer.ID, Rule: a.rule, Arrival: a.at, HTTP: r, Body: a.body,
	})
	watch.End(time.Now(), refusal == nil)
	s.end(a, refusal)
	if refusal != nil {
		s.refuser.Write(w, refusal)
		return
	}
	write(w, answer)
}

func write(w http.ResponseWriter, answer *currantwood.ServiceResponse) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// end counts and logs the end of a request.
func (s *Server) end(a arrival, refusal *currantwood.Refusal) {
	took := time.Since(a.at)
	s.meters.end(took, refusal)
	fields := []zap.Field{
		zap.String("request-id", string(a.id)),
		zap.String("customer", string(a.customer.ID)),
		zap.String("rule", string(a.rule.ID)),
		zap.Duration("took", took),
	}
	if refusal == nil {
		s.options.Logger.Debug("request served", fields...)
		return
	}
	s.options.Logger.Info("request refused", append(fields,
		zap.Stringer("kind", refusal.Kind), zap.Stringer("ran", refusal.Ran),
		zap.String("step", refusal.Step), zap.String("peer", refusal.Peer), zap.String("detail", refusal.Detail))...)
}

func callerKey(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

func isCompletion(r *http.Request) bool {
	return r.Method == http.MethodPost && (r.URL.Path == pathCompletions || r.URL.Path == pathChat)
}

func generates(class currantwood.Class) bool {
	return class == currantwood.ClassStream || class == currantwood.ClassCheck
}
