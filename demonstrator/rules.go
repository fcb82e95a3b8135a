package demonstrator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/publisher"
)

// publishTimeout limits the publication of the rules at startup.
const publishTimeout = 10 * time.Second

// publishRules publishes Options.Rules to the log.
func (d *Demonstrator) publishRules() error {
	if d.options.Rules == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	p := publisher.New(publisher.Options{
		Log:   logclient.New(logclient.Options{Address: d.LogAddress()}),
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(uuid.NewString()) },
	})
	result, err := p.Publish(ctx, publisher.Edit{PublishedBy: "demonstrator", Text: d.options.Rules})
	if err == nil && result.Outcome != publisher.Accepted {
		err = errors.Errorf("outcome %s", result.Outcome)
	}
	return errors.Wrap(err, "demonstrator: publish rules")
}
