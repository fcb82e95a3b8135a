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
	// headerRestart declares that the caller understands a restart event.
	headerRestart = "X-Accept-Restart"
	// headerLastEvent holds the position from which a caller goes on.
	headerLastEvent = "Last-Event-ID"
	// writeTimeout bounds one write to a caller. A caller that takes longer
	// counts as gone. The deadline is moved when deadlineAge has passed, since
	// moving it costs as much as a small write.
	writeTimeout = 30 * time.Second
	deadlineAge  = 5 * time.Second
)

// answer writes one generation to its caller, streamed or whole. It is the
// forwarder's sink.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	encoder *encoder.Encoder
	// watch counts how the answer meets the service-level objectives.
	watch *observer.Request
	// tokens counts what was delivered.
	tokens metrics.Counter
	// streamed is false when the caller wants one whole answer.
	streamed bool
	// started is true once the header was sent.
	started bool
	// deadlineSet is when the write deadline was last moved.
	deadlineSet time.Time
	// buffer holds encoded events that were not written.
	buffer []byte
	// texts are the tokens of a whole answer.
	texts []string
}

func newAnswer(w http.ResponseWriter, a arrival) *answer {
	return &answer{
		w:       w,
		control: http.NewResponseController(w),
		encoder: encoder.New(encoder.Options{
			Request:      a.id,
			Model:        a.prompt.Model,
			Created:      a.at,
			Chat:         a.prompt.chat,
			IncludeUsage: a.prompt.StreamOptions.IncludeUsage,
			PromptTokens: a.prompt.tokens(),
		}),
		streamed: a.prompt.Stream,
	}
}

// Bind names the generation of what follows.
func (o *answer) Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID, restart bool) error {
	o.encoder.Bind(generation, upstream)
	o.texts = nil
	if !restart || !o.streamed {
		return nil
	}
	o.buffer = o.encoder.Restart(o.buffer)
	return o.Flush()
}

// Deliver takes in tokens.
func (o *answer) Deliver(first currantwood.TokenIndex, texts []string) error {
	o.watch.Tokens(time.Now())
	o.tokens.Inc(int64(len(texts)))
	if o.streamed {
		o.buffer = o.encoder.Tokens(o.buffer, first, texts)
		return nil
	}
	o.texts = append(o.texts, texts...)
	return nil
}

// Flush writes what was taken in to a caller that reads a stream.
func (o *answer) Flush() error {
	if !o.streamed || len(o.buffer) == 0 {
		return nil
	}
	o.start()
	if now := time.Now(); now.Sub(o.deadlineSet) > deadlineAge {
		_ = o.control.SetWriteDeadline(now.Add(writeTimeout))
		o.deadlineSet = now
	}
	_, err := o.w.Write(o.buffer)
	o.buffer = o.buffer[:0]
	if err == nil {
		err = o.control.Flush()
	}
	return errors.Wrapf(err, "%s: write to caller", step)
}

// Idle sends a heartbeat. Before the first token there is none: a refusal with
// its own status may still be the answer.
func (o *answer) Idle() error {
	if !o.started {
		return nil
	}
	o.buffer = o.encoder.Heartbeat(o.buffer)
	return o.Flush()
}

// end writes the end of the answer.
func (o *answer) end(completion forwarder.Completion, refusal *currantwood.Refusal, refuser *refuser.Refuser) {
	switch {
	case refusal != nil && !o.started:
		refuser.Write(o.w, refusal)
	case refusal != nil:
		o.fail(refusal)
	case o.streamed:
		o.buffer = o.encoder.Done(o.buffer, completion.Tokens, completion.FinishReason)
		_ = o.Flush()
	default:
		o.whole(completion)
	}
}

// fail ends a stream that is not whole. The connection is cut where the error
// event can't be written, so that no caller takes the end for a whole answer.
func (o *answer) fail(refusal *currantwood.Refusal) {
	var err error
	if o.buffer, err = o.encoder.Failure(o.buffer, refusal); err != nil || o.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (o *answer) whole(completion forwarder.Completion) {
	o.w.Header().Set("Content-Type", "application/json")
	_, _ = o.w.Write(o.encoder.Whole(nil, o.texts, completion.FinishReason))
}

func (o *answer) start() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}
