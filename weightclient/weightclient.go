// Package weightclient asks the platform's weight store for loads over HTTP.
package weightclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/pkg/errors"
)

// Options sets how a client calls the store. Address is required.
type Options struct {
	// Address is the base URL of the store, without a trailing slash.
	Address string
	// Timeout bounds one call; 0 leaves it to the caller's context.
	Timeout time.Duration
	// HTTP is the client to use; nil means one with its own connections.
	HTTP *http.Client
}

// Client is a currantwood.WeightStore.
type Client struct {
	options Options
}

var _ currantwood.WeightStore = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{options: options}
}

// Reserve asks to load the weights of a model in a region. Where the rate is
// used up it returns false with the wait in seconds. After an error the load
// may count against the rate.
func (c *Client) Reserve(ctx context.Context, model currantwood.ModelID, region currantwood.RegionID) (granted bool, waitSeconds float64, err error) {
	if c.options.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
	}
	answer, err := c.reserve(ctx, model, region)
	if err != nil {
		return false, 0, errors.WithMessagef(err, "reserve %s at weight store %s", model, c.options.Address)
	}
	return answer.Granted, answer.WaitSeconds, nil
}

type reservation struct {
	Granted     bool    `json:"granted"`
	WaitSeconds float64 `json:"wait-seconds"`
}

func (c *Client) reserve(ctx context.Context, model currantwood.ModelID, region currantwood.RegionID) (reservation, error) {
	body, err := json.Marshal(struct {
		Model  currantwood.ModelID  `json:"model"`
		Region currantwood.RegionID `json:"region"`
	}{model, region})
	if err != nil {
		return reservation{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.Address+"/reserve", bytes.NewReader(body))
	if err != nil {
		return reservation{}, err
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return reservation{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusTooManyRequests {
		return reservation{}, errors.Errorf("status %s", response.Status)
	}
	var answer reservation
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
