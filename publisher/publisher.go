// Package publisher publishes rules texts through the log service and finds
// out what became of them. It claims nothing that the log did not show it.
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
	// readLimit bounds the records of one read, each of which may be large.
	readLimit = 16
	// firstRetry and maxRetry bound the wait between calls.
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
)

// ErrNoHead says that the log holds records but no checkpoint from which the
// head follows.
var ErrNoHead = errors.New("the log shows no checkpoint from which the head follows")

// Options says where to publish.
type Options struct {
	// Log bounds its own calls in time.
	Log currantwood.Log
	// NewID draws an id that was never drawn before.
	NewID func() currantwood.PublicationID
}

// Publisher publishes texts. It is safe for concurrent use.
type Publisher struct {
	options Options
}

// New returns a publisher.
func New(options Options) *Publisher {
	return &Publisher{options: options}
}

// Head reads the head at the end of the log.
func (p *Publisher) Head(ctx context.Context) (headkeeper.Anchor, error) {
	r := &run{options: p.options, keeper: headkeeper.New(headkeeper.Options{})}
	if err := r.catchUp(ctx); err != nil {
		return headkeeper.Anchor{}, err
	}
	anchor, _ := r.keeper.Anchor()
	return anchor, nil
}

// Publish appends a text until the log shows what became of it or ctx ends. An
// error means that nothing was published and nothing will be. Once an append
// may have taken effect there is no error any more, only Unknown.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (Result, error) {
	r := &run{options: p.options, keeper: headkeeper.New(headkeeper.Options{}), edit: edit, id: p.options.NewID()}
	result, err := r.prepare(ctx)
	if err != nil || result.Outcome != 0 {
		return result, err
	}
	return r.publish(ctx)
}

// run is the work on one edit.
type run struct {
	options Options
	keeper  *headkeeper.Keeper
	edit    Edit
	id      currantwood.PublicationID
	// possible is true once an append may have taken effect.
	possible bool
	// landed is true once an append surely took effect.
	landed bool
}

// catchUp reads up to the end of the log.
func (r *run) catchUp(ctx context.Context) error {
	for {
		from := r.keeper.Want()
		window, err := r.options.Log.Read(ctx, headkeeper.Stream, from, readLimit)
		if err != nil {
			return errors.Wrap(err, "publisher: read rules stream")
		}
		r.keeper.Feed(time.Now(), window)
		_, anchored := r.keeper.Anchor()
		if anchored && r.keeper.Want() >= window.End {
			return nil
		}
		if !anchored && r.keeper.Want() == from && from >= window.End {
			return errors.Wrap(ErrNoHead, "publisher")
		}
	}
}

// prepare waits until the log shows the base of the edit and says whether
// there is any use in publishing. A result without outcome says that there is.
func (r *run) prepare(ctx context.Context) (Result, error) {
	var result Result
	err := r.retry(ctx, func() error {
		if err := r.catchUp(ctx); err != nil {
			return err
		}
		anchor, _ := r.keeper.Anchor()
		switch {
		case anchor.Head.Revision < r.edit.Base.Revision:
			return errors.Errorf("publisher: the log shows revision %d and not yet the text's base, revision %d", anchor.Head.Revision, r.edit.Base.Revision)
		case anchor.Head.Revision > 0 && anchor.Head.Text == r.edit.Text:
			result = r.settled(Same)
		case anchor.Head.Publication != r.edit.Base.Publication:
			result = r.settled(Conflict)
		}
		return nil
	})
	return result, err
}

// publish appends and reads until the verdict is known.
func (r *run) publish(ctx context.Context) (Result, error) {
	data, err := headkeeper.EncodePublication(headkeeper.Publication{
		ID: r.id, Base: r.edit.Base.Publication, PublishedBy: r.edit.PublishedBy, Text: r.edit.Text,
	})
	if err != nil {
		return Result{}, err
	}
	var result Result
	err = r.retry(ctx, func() error {
		if err := r.append(ctx, data); err != nil {
			return err
		}
		if err := r.catchUp(ctx); err != nil {
			return err
		}
		var known bool
		if result, known = r.verdict(); !known {
			return errors.New("publisher: the log does not show the publication yet")
		}
		return nil
	})
	if err == nil {
		return result, nil
	}
	if r.possible {
		return Result{Outcome: Unknown, Publication: r.id}, nil
	}
	return Result{}, err
}

// append adds the record unless it surely landed. Where an answer was lost the
// log is read before the next try, which is made under the same id.
func (r *run) append(ctx context.Context, data []byte) error {
	if r.landed {
		return nil
	}
	_, err := r.options.Log.Append(ctx, headkeeper.Stream, data)
	switch {
	case err == nil:
		r.landed, r.possible = true, true
	case errors.Is(err, currantwood.ErrAppendUnknown):
		r.possible = true
	case errors.Is(err, currantwood.ErrLogDown) && !r.possible:
		return errors.Wrap(err, "publisher: append")
	case !errors.Is(err, currantwood.ErrLogDown):
		r.possible = true
	}
	return nil
}

// verdict says what the log decided, where it shows that.
func (r *run) verdict() (Result, bool) {
	anchor, _ := r.keeper.Anchor()
	result := Result{Outcome: Accepted, Publication: r.id, Revision: anchor.Head.Revision, Anchor: anchor}
	verdict, known := r.keeper.Verdict(r.id)
	switch {
	case known && verdict.Accepted:
		result.Revision = verdict.Revision
		return result, true
	case known:
		return r.settled(Conflict), true
	}
	return result, anchor.Head.Publication == r.id
}

// settled makes the result of an edit that the present head rules out.
func (r *run) settled(outcome Outcome) Result {
	anchor, _ := r.keeper.Anchor()
	if anchor.Head.Text == r.edit.Text {
		outcome = Same
	}
	result := Result{Outcome: outcome, Publication: r.id, Head: anchor.Head, HeadBy: anchor.PublishedBy}
	if outcome == Same {
		result.Publication, result.Revision = anchor.Head.Publication, anchor.Head.Revision
	}
	if verdict, known := r.keeper.Successor(r.edit.Base.Publication); known {
		result.First = First{Revision: verdict.Revision, Publication: verdict.Publication, PublishedBy: verdict.PublishedBy}
	}
	return result
}

// retry calls work until it succeeds or ctx ends, and returns its last error.
func (r *run) retry(ctx context.Context, work func() error) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstRetry
	waits.MaxInterval = maxRetry
	for {
		err := work()
		if err == nil || errors.Is(err, ErrNoHead) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(waits.NextBackOff()):
		}
	}
}
