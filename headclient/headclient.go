// Package headclient is how operators' commands speak to running processes
// about the head: it hands a fresh one to a few entries of each region, and
// asks every process which one it has in force.
package headclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/headserver"
	"github.com/pkg/errors"
)

const (
	// entriesPerRegion is how many entries of a region are handed a head.
	entriesPerRegion = 3
	// callTimeout bounds one call of a process.
	callTimeout = 2 * time.Second
	// maxCalls bounds the calls at one time.
	maxCalls = 64
	// maxAnswerBytes bounds the answer of a process.
	maxAnswerBytes = 64 << 10
)

// Standing is what one process said, or why it said nothing.
type Standing struct {
	VM currantwood.VM
	// Page is zero where Err is set.
	Page headserver.Report
	Err  error
}

// Client speaks to the operators' addresses of processes.
type Client struct {
	http *http.Client
}

// New returns a client; nil means an HTTP client with its own connections.
func New(client *http.Client) *Client {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{}}
	}
	return &Client{http: client}
}

// Announce hands a head to a few entries of each region, so that it spreads
// also where the log service fails right after it took the publication.
func (c *Client) Announce(ctx context.Context, vms []currantwood.VM, anchor headkeeper.Anchor) []Standing {
	body, err := headkeeper.EncodeAnchor(anchor)
	return c.each(fewEntries(vms), func(vm currantwood.VM) (headserver.Report, error) {
		if err != nil {
			return headserver.Report{}, err
		}
		return c.call(ctx, http.MethodPost, vm, body)
	})
}

// Survey asks every process for the head in force.
func (c *Client) Survey(ctx context.Context, vms []currantwood.VM) []Standing {
	return c.each(vms, func(vm currantwood.VM) (headserver.Report, error) {
		return c.call(ctx, http.MethodGet, vm, nil)
	})
}

// fewEntries leaves out all but the first entries of each region.
func fewEntries(vms []currantwood.VM) []currantwood.VM {
	taken := make(map[currantwood.RegionID]int)
	var few []currantwood.VM
	for _, vm := range vms {
		if vm.Role != currantwood.RoleEntry.String() || vm.Leaving || taken[vm.Region] == entriesPerRegion {
			continue
		}
		taken[vm.Region]++
		few = append(few, vm)
	}
	return few
}

// each calls all VMs, and keeps their order.
func (c *Client) each(vms []currantwood.VM, call func(currantwood.VM) (headserver.Report, error)) []Standing {
	standings := make([]Standing, len(vms))
	slots := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			page, err := call(vm)
			standings[i] = Standing{VM: vm, Page: page, Err: err}
		})
	}
	calls.Wait()
	return standings
}

func (c *Client) call(ctx context.Context, method string, vm currantwood.VM, body []byte) (headserver.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := c.do(ctx, method, "http://"+vm.OperatorAddress+headserver.Path, body)
	return page, errors.Wrapf(err, "headclient: %s at %s", vm.ID, vm.OperatorAddress)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte) (headserver.Report, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return headserver.Report{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return headserver.Report{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return headserver.Report{}, errors.Errorf("status %s", response.Status)
	}
	var page headserver.Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&page)
	return page, err
}
