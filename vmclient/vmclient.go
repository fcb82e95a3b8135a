// Package vmclient reads the platform's VM list over HTTP.
package vmclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/pkg/errors"
)

// maxAnswerBytes bounds the list.
const maxAnswerBytes = 64 << 20

// Options sets how a client calls the list. Address is required.
type Options struct {
	// Address is the base URL of the list, without a trailing slash.
	Address string
	// Timeout bounds one call; 0 leaves it to the caller's context.
	Timeout time.Duration
	// HTTP is the client to use; nil means one with its own connections.
	HTTP *http.Client
}

// Client is a currantwood.VMList.
type Client struct {
	options Options
}

var _ currantwood.VMList = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{options: options}
}

// VMs returns the list as the platform shows it, which lags behind the truth.
func (c *Client) VMs(ctx context.Context) ([]currantwood.VM, error) {
	if c.options.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
	}
	vms, err := c.fetch(ctx)
	return vms, errors.WithMessagef(err, "read VM list at %s", c.options.Address)
}

func (c *Client) fetch(ctx context.Context) ([]currantwood.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.Address+"/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %s", response.Status)
	}
	var vms []currantwood.VM
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&vms)
	return vms, err
}
