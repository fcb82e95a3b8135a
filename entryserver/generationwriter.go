package entryserver

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/encoder"
	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/observer"
	"github.com/currantwood/currantwood/refuser"
)

const (
	// headerAcceptRestart, if "true", declares that the client handles restart events.
	headerAcceptRestart = "X-Accept-Restart"
	// headerLastEventID holds the position from which a reconnecting client resumes.
	headerLastEventID = "Last-Event-ID"
	// writeTimeout bounds one write to a client. A client that takes longer is
	// treated as disconnected.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two updates of the write
	// deadline. An update costs as much as a small write.
	writeDeadlineInterval = 5 * time.Second
)

// generationWriter writes the tokens of one generation to its client, as an event
// stream or as one JSON body. It implements forwarder.Sink.
type generationWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	encoder    *encoder.Encoder
	// observation measures the response against the service-level objectives.
	observation *observer.Request
	// deliveredTokens counts the tokens passed to Deliver.
	deliveredTokens metrics.Counter
	// streamed is false if the client requested a single JSON body.
	streamed bool
	// headerSent is true once the header of an event stream was sent.
	headerSent bool
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	// buffer holds encoded events that aren't written yet.
	buffer []byte
	// tokenTexts holds the tokens of a response that isn't streamed.
	tokenTexts []string
}

func newGenerationWriter(w http.ResponseWriter, req request) *generationWriter {
	return &generationWriter{
		w:          w,
		controller: http.NewResponseController(w),
		encoder: encoder.New(encoder.Options{
			Request:      req.id,
			Model:        req.generation.Model,
			Created:      req.receivedAt,
			Chat:         req.generation.chat,
			IncludeUsage: req.generation.StreamOptions.IncludeUsage,
			PromptTokens: req.generation.estimatedTokens(),
		}),
		streamed: req.generation.Stream,
	}
}

// Bind sets the generation and upstream of the tokens that follow and drops the
// tokens collected for a single body. If restart is set, it sends a restart event
// to a streaming client.
func (g *generationWriter) Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID, restart bool) error {
	g.encoder.SetGeneration(generation, upstream)
	g.tokenTexts = nil
	if !restart || !g.streamed {
		return nil
	}
	g.buffer = g.encoder.AppendRestart(g.buffer)
	return g.Flush()
}

// Deliver buffers consecutive tokens, the first of which has the index first.
func (g *generationWriter) Deliver(first currantwood.TokenIndex, texts []string) error {
	g.observation.RecordTokens(time.Now())
	g.deliveredTokens.Inc(int64(len(texts)))
	if g.streamed {
		g.buffer = g.encoder.AppendTokens(g.buffer, first, texts)
		return nil
	}
	g.tokenTexts = append(g.tokenTexts, texts...)
	return nil
}

// Flush writes the buffered events to a streaming client. An error means that the
// client can't be reached.
func (g *generationWriter) Flush() error {
	if !g.streamed || len(g.buffer) == 0 {
		return nil
	}
	g.sendHeader()
	if now := time.Now(); now.Sub(g.deadlineSetAt) > writeDeadlineInterval {
		_ = g.controller.SetWriteDeadline(now.Add(writeTimeout))
		g.deadlineSetAt = now
	}
	_, err := g.w.Write(g.buffer)
	g.buffer = g.buffer[:0]
	if err == nil {
		err = g.controller.Flush()
	}
	return errors.Wrapf(err, "%s: write to client", step)
}

// Idle sends a heartbeat to a streaming client. It sends none before the first
// write, because the response may still be a refusal with its own status.
func (g *generationWriter) Idle() error {
	if !g.headerSent {
		return nil
	}
	g.buffer = g.encoder.AppendHeartbeat(g.buffer)
	return g.Flush()
}

// finish writes the end of the response, or a refusal with its own status if no
// header was sent.
func (g *generationWriter) finish(completion forwarder.Completion, refusal *currantwood.Refusal, refuser *refuser.Refuser) {
	switch {
	case refusal != nil && !g.headerSent:
		refuser.Write(g.w, refusal)
	case refusal != nil:
		g.writeFailure(refusal)
	case g.streamed:
		g.buffer = g.encoder.AppendDone(g.buffer, completion.Tokens, completion.FinishReason)
		_ = g.Flush()
	default:
		g.writeBody(completion)
	}
}

// writeFailure ends an incomplete stream with an error event. If the event can't
// be written, it aborts the connection so that no client takes the response for
// complete.
func (g *generationWriter) writeFailure(refusal *currantwood.Refusal) {
	var err error
	if g.buffer, err = g.encoder.AppendError(g.buffer, refusal); err != nil || g.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (g *generationWriter) writeBody(completion forwarder.Completion) {
	g.w.Header().Set("Content-Type", "application/json")
	_, _ = g.w.Write(g.encoder.AppendBody(nil, g.tokenTexts, completion.FinishReason))
}

func (g *generationWriter) sendHeader() {
	if g.headerSent {
		return
	}
	g.headerSent = true
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.w.Header().Set("Cache-Control", "no-store")
	g.w.WriteHeader(http.StatusOK)
}
