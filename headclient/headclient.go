// Package headclient calls the headservers of running processes for operators'
// commands. It sends a new head to a few VMs with the role entry in each region and
// asks each process which head it has in force.
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
	// entriesPerRegion is how many VMs with the role entry are sent a head in each
	// region.
	entriesPerRegion = 3
	// callTimeout bounds one call of a process.
	callTimeout = 2 * time.Second
	// maxCalls bounds the concurrent calls.
	maxCalls = 64
	// maxResponseBytes bounds the response body of a process.
	maxResponseBytes = 64 << 10
)

// Result is the response of one process, or the error of the call.
type Result struct {
	VM currantwood.VM
	// Report is zero if Err is set.
	Report headserver.Report
	Err    error
}

// Client calls processes at their operator addresses.
type Client struct {
	http *http.Client
}

// New returns a client that uses the given HTTP client. If that is nil, New creates
// one with its own connection pool.
func New(client *http.Client) *Client {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{}}
	}
	return &Client{http: client}
}

// Announce sends a head to a few VMs with the role entry in each region, so that the
// head spreads even if the log service fails right after accepting the publication.
// It returns their responses.
func (c *Client) Announce(ctx context.Context, vms []currantwood.VM, snapshot headkeeper.Snapshot) []Result {
	body, err := headkeeper.EncodeSnapshot(snapshot)
	return c.callAll(selectEntries(vms), func(vm currantwood.VM) (headserver.Report, error) {
		if err != nil {
			return headserver.Report{}, err
		}
		return c.call(ctx, http.MethodPost, vm, body)
	})
}

// Reports asks every VM for the head in force and returns the responses in the order
// of vms.
func (c *Client) Reports(ctx context.Context, vms []currantwood.VM) []Result {
	return c.callAll(vms, func(vm currantwood.VM) (headserver.Report, error) {
		return c.call(ctx, http.MethodGet, vm, nil)
	})
}

// selectEntries returns, for each region, the first entriesPerRegion VMs with the
// role entry that are not leaving.
func selectEntries(vms []currantwood.VM) []currantwood.VM {
	counts := make(map[currantwood.RegionID]int)
	var selected []currantwood.VM
	for _, vm := range vms {
		if vm.Role != currantwood.RoleEntry.String() || vm.Leaving || counts[vm.Region] == entriesPerRegion {
			continue
		}
		counts[vm.Region]++
		selected = append(selected, vm)
	}
	return selected
}

// callAll calls call for each VM, at most maxCalls at a time, and returns the
// results in the order of vms.
func (c *Client) callAll(vms []currantwood.VM, call func(currantwood.VM) (headserver.Report, error)) []Result {
	results := make([]Result, len(vms))
	slots := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			report, err := call(vm)
			results[i] = Result{VM: vm, Report: report, Err: err}
		})
	}
	calls.Wait()
	return results
}

func (c *Client) call(ctx context.Context, method string, vm currantwood.VM, body []byte) (headserver.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := c.do(ctx, method, "http://"+vm.OperatorAddress+headserver.Path, body)
	return report, errors.Wrapf(err, "headclient: call VM %s at %s", vm.ID, vm.OperatorAddress)
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
		return headserver.Report{}, errors.Errorf("unexpected status %s", response.Status)
	}
	var report headserver.Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&report)
	return report, err
}
