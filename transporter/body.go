package transporter

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/connkeeper"
)

// body is the body of a response. Its end, or Close, ends the exchange.
type body struct {
	ctx      context.Context
	exchange *connkeeper.Exchange
	// keep is whether the connection may be used again.
	keep bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.exchange.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if b.keep {
			b.exchange.Finish()
		}
		return n, io.EOF
	}
	if err != nil {
		err = contextError(b.ctx, err)
	}
	return n, err
}

func (b *body) Close() error {
	b.exchange.Abort()
	return nil
}
