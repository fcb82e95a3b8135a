// Package vmclient is an HTTP client for the platform's list of VMs.
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

// maxResponseBytes bounds the size of the encoded list. A longer one fails to
// decode.
const maxResponseBytes = 64 << 20

// Options configures a Client. Address is required.
type Options struct {
	// BaseURL is the base URL of the list, without a trailing slash.
	BaseURL string
	// Timeout bounds each call; 0 means that only the context bounds it.
	Timeout time.Duration
	// HTTP is the client that sends requests; nil means a client with its own
	// connection pool.
	HTTP *http.Client
}

// Client fetches the list. It is a currantwood.VMList.
type Client struct {
	options Options
}

var _ currantwood.VMList = (*Client)(nil)

// New returns a client for the list at options.Address.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{options: options}
}

// VMs returns the list. It may lag behind the actual state of the platform.
func (c *Client) VMs(ctx context.Context) ([]currantwood.VM, error) {
	if c.options.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
	}
	vms, err := c.fetch(ctx)
	return vms, errors.WithMessagef(err, "read VM list at %s", c.options.BaseURL)
}

func (c *Client) fetch(ctx context.Context) ([]currantwood.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.BaseURL+"/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("unexpected status %s", response.Status)
	}
	var vms []currantwood.VM
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&vms)
	return vms, err
}
