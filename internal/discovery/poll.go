package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"fawnplank/policy"
)

// maxListBytes is the maximum size of a list, enough for some ten thousand endpoints. A longer list is truncated and
// fails to decode, so its error is about incomplete JSON and does not mention the size.
const maxListBytes = 4 << 20

// statusError is the error for an answer of the discovery service whose HTTP status is not 200.
type statusError struct {
	code   int
	status string // the code with its text
}

func (e *statusError) Error() string {
	if e.isRefusal() {
		return "refused by the discovery service: " + e.status
	}
	return e.status
}

// isRefusal reports whether the service refused the call for lack of capacity, without processing it.
func (e *statusError) isRefusal() bool {
	return e.code == http.StatusServiceUnavailable || e.code == http.StatusTooManyRequests
}

// isRefusal reports whether a poll failed because the service refused it.
func isRefusal(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.isRefusal()
}

// poll makes one call, for a full snapshot or for the changes since the last list, and publishes the answer. It
// converts a panic to an error, without the stack, so that the watch continues.
func (c *Client) poll(ctx context.Context, state *watchState) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	call := c.nextCall(ctx, state)
	defer call.cancel()
	list, err := c.fetch(call)
	if err != nil {
		return err
	}
	if !state.needsSnapshot && list.Index < c.index && !list.Snapshot {
		// Another process answers at the service's address: its changes do not apply to the list of the former one.
		state.needsSnapshot = true
		return nil
	}
	state.needsSnapshot = false
	c.index = list.Index
	c.publisher.publish(list.updateKind(), list.Endpoints)
	return nil
}

// pollCall is one call to the discovery service.
type pollCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	url    string
}

// nextCall prepares the next call, which Reconfigure cancels if the address changes. After a change of the address,
// the call requests a full snapshot, since the index is valid only at the old address. The query parameter wait, the
// time for which the service may hold the call, is in milliseconds.
func (c *Client) nextCall(ctx context.Context, state *watchState) pollCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.addressVersion != c.addressVersion {
		state.addressVersion = c.addressVersion
		state.needsSnapshot = true
	}
	url := c.url
	if !state.needsSnapshot {
		url = fmt.Sprintf("%s?index=%d&wait=%d", c.url, c.index, c.timeouts.Watch.Milliseconds())
	}
	timeout := callTimeout(c.timeouts, state)
	ctx = withDialTimeout(ctx, dialTimeout(c.timeouts, timeout))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.cancelPoll = cancel
	return pollCall{ctx: ctx, cancel: cancel, url: url}
}

// callTimeout returns the timeout of a call. If there are no changes, the service answers a watch call at the end of
// the requested wait; WatchGrace allows for the delay on the network.
func callTimeout(timeouts policy.DiscoveryTimeouts, state *watchState) time.Duration {
	if state.needsSnapshot {
		return timeouts.Snapshot
	}
	return timeouts.Watch + timeouts.WatchGrace
}

// dialTimeout returns the timeout of the dial for a call. It is at most the timeout of a snapshot call, so that a
// watch call does not spend its long wait on a connection that is never established.
func dialTimeout(timeouts policy.DiscoveryTimeouts, call time.Duration) time.Duration {
	return min(call, timeouts.Snapshot)
}

// fetch makes a call and returns the list in its answer. Its error is a *statusError if the HTTP status of the answer
// is not 200.
func (c *Client) fetch(call pollCall) (*endpointList, error) {
	request, err := http.NewRequestWithContext(call.ctx, http.MethodGet, call.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = response.Body.Close() // the body has been read or is not needed
	}()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{code: response.StatusCode, status: response.Status}
	}
	return decodeList(text)
}
