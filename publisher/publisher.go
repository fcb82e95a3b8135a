// Package publisher publishes rules texts through the log service. It derives
// the outcome of a publication only from records that it reads back from the
// log.
package publisher

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/pkg/errors"
)

const (
	// maxRecordsPerRead is low since each record holds a whole rules text.
	maxRecordsPerRead = 16
	// initialRetryDelay and maxRetryDelay bound the delay between attempts.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// ErrNoHead is returned if the start of the log has expired and the head cannot be
// computed from any checkpoint that is left in the log.
var ErrNoHead = errors.New("the log has no checkpoint from which the head can be computed")

// Options configures a Publisher.
type Options struct {
	// Log must bound each call by a timeout of its own, so that a call that hangs is
	// retried before the context ends.
	Log currantwood.Log
	// NewID returns an id that is unique among all publications.
	NewID func() currantwood.PublicationID
}

// Publisher publishes rules texts. It is safe for concurrent use.
type Publisher struct {
	options Options
}

// New returns a publisher.
func New(options Options) *Publisher {
	return &Publisher{options: options}
}

// Head reads the log to its end and returns the head. The error wraps ErrNoHead
// if the head cannot be computed.
func (p *Publisher) Head(ctx context.Context) (headkeeper.Snapshot, error) {
	o := &operation{options: p.options, keeper: headkeeper.New(headkeeper.Options{})}
	if err := o.catchUp(ctx); err != nil {
		return headkeeper.Snapshot{}, err
	}
	snapshot, _ := o.keeper.Snapshot()
	return snapshot, nil
}

// Publish appends a text to the log and retries until the outcome is known or ctx
// ends. An error means that the text was not and will not be published. If an
// append may have taken effect, Publish returns the outcome Unknown in place of
// an error.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (Result, error) {
	o := &operation{options: p.options, keeper: headkeeper.New(headkeeper.Options{}), edit: edit, id: p.options.NewID()}
	result, err := o.checkBase(ctx)
	if err != nil || result.Outcome != 0 {
		return result, err
	}
	return o.publish(ctx)
}

// operation is one call of Head or Publish.
type operation struct {
	options Options
	keeper  *headkeeper.Keeper
	edit    Edit
	id      currantwood.PublicationID
	// mayHaveAppended is true once an append may have taken effect, now or later.
	mayHaveAppended bool
	// appended is true once the log has confirmed an append.
	appended bool
}

// catchUp reads the log to its end.
func (o *operation) catchUp(ctx context.Context) error {
	for {
		from := o.keeper.NextOffset()
		batch, err := o.options.Log.Read(ctx, headkeeper.Stream, from, maxRecordsPerRead)
		if err != nil {
			return errors.Wrap(err, "publisher: read rules stream")
		}
		o.keeper.Feed(time.Now(), batch)
		_, synced := o.keeper.Snapshot()
		if synced && o.keeper.NextOffset() >= batch.End {
			return nil
		}
		if !synced && o.keeper.NextOffset() == from && from >= batch.End {
			return errors.Wrap(ErrNoHead, "publisher")
		}
	}
}

// checkBase reads the log until it includes the edit's base. It returns a result
// with outcome Same or Conflict if the edit cannot be accepted on the head, and a
// result without outcome if the edit can be published.
func (o *operation) checkBase(ctx context.Context) (Result, error) {
	var result Result
	err := o.retry(ctx, func() error {
		if err := o.catchUp(ctx); err != nil {
			return err
		}
		snapshot, _ := o.keeper.Snapshot()
		switch {
		case snapshot.Head.Revision < o.edit.Base.Revision:
			return errors.Errorf("publisher: log is at revision %d, behind the edit's base revision %d", snapshot.Head.Revision, o.edit.Base.Revision)
		case snapshot.Head.Revision > 0 && snapshot.Head.Text == o.edit.Text:
			result = o.resultFromHead(Same)
		case snapshot.Head.Publication != o.edit.Base.Publication:
			result = o.resultFromHead(Conflict)
		}
		return nil
	})
	return result, err
}

// publish appends the edit and reads the log until the outcome is known.
func (o *operation) publish(ctx context.Context) (Result, error) {
	data, err := headkeeper.EncodePublication(headkeeper.Publication{
		ID: o.id, Base: o.edit.Base.Publication, PublishedBy: o.edit.PublishedBy, Text: o.edit.Text,
	})
	if err != nil {
		return Result{}, err
	}
	var result Result
	err = o.retry(ctx, func() error {
		if err := o.append(ctx, data); err != nil {
			return err
		}
		if err := o.catchUp(ctx); err != nil {
			return err
		}
		var known bool
		if result, known = o.resultFromLog(); !known {
			return errors.New("publisher: publication not found in the log yet")
		}
		return nil
	})
	if err == nil {
		return result, nil
	}
	if o.mayHaveAppended {
		return Result{Outcome: Unknown, Publication: o.id}, nil
	}
	return Result{}, err
}

// append appends the record unless an earlier append was confirmed. It returns no
// error if this or an earlier append may have taken effect, so that the log is read
// before the next attempt. Every error but ErrLogDown leaves that open. All attempts use the same publication id.
func (o *operation) append(ctx context.Context, data []byte) error {
	if o.appended {
		return nil
	}
	_, err := o.options.Log.Append(ctx, headkeeper.Stream, data)
	switch {
	case err == nil:
		o.appended, o.mayHaveAppended = true, true
	case errors.Is(err, currantwood.ErrAppendUnknown):
		o.mayHaveAppended = true
	case errors.Is(err, currantwood.ErrLogDown) && !o.mayHaveAppended:
		return errors.Wrap(err, "publisher: append")
	case !errors.Is(err, currantwood.ErrLogDown):
		o.mayHaveAppended = true
	}
	return nil
}

// resultFromLog returns the result of the publication and whether the log has
// decided on it.
func (o *operation) resultFromLog() (Result, bool) {
	snapshot, _ := o.keeper.Snapshot()
	result := Result{Outcome: Accepted, Publication: o.id, Revision: snapshot.Head.Revision, Snapshot: snapshot}
	decision, known := o.keeper.Decision(o.id)
	switch {
	case known && decision.Accepted:
		result.Revision = decision.Revision
		return result, true
	case known:
		return o.resultFromHead(Conflict), true
	}
	// The head can be the publication without a decision if the keeper was restored
	// from a checkpoint.
	return result, snapshot.Head.Publication == o.id
}

// resultFromHead returns the result of an edit that was not accepted because of the
// current head. The outcome is Same if the head has the edit's text, regardless of
// the argument outcome.
func (o *operation) resultFromHead(outcome Outcome) Result {
	snapshot, _ := o.keeper.Snapshot()
	if snapshot.Head.Text == o.edit.Text {
		outcome = Same
	}
	result := Result{Outcome: outcome, Publication: o.id, Head: snapshot.Head, HeadPublishedBy: snapshot.PublishedBy}
	if outcome == Same {
		result.Publication, result.Revision = snapshot.Head.Publication, snapshot.Head.Revision
	}
	if decision, known := o.keeper.Successor(o.edit.Base.Publication); known {
		result.AcceptedBefore = AcceptedPublication{Revision: decision.Revision, Publication: decision.Publication, PublishedBy: decision.PublishedBy}
	}
	return result
}

// retry calls attempt with exponential backoff until it succeeds, fails with
// ErrNoHead or ctx ends. It returns the last error.
func (o *operation) retry(ctx context.Context, attempt func() error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	for {
		err := attempt()
		if err == nil || errors.Is(err, ErrNoHead) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delays.NextBackOff()):
		}
	}
}
