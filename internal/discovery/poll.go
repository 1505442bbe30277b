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

// maxListBytes bounds a list: it holds some ten thousand endpoints. A longer one is cut and fails to decode, so its
// error is about incomplete JSON and does not mention the size.
const maxListBytes = 4 << 20

// statusError is an answer of the discovery service without a list.
type statusError struct {
	code   int
	status string // the code with its text
}

func (e *statusError) Error() string {
	if e.isRefusal() {
		return "refused: " + e.status
	}
	return e.status
}

// isRefusal reports whether the service has no capacity for the call, and has not processed it.
func (e *statusError) isRefusal() bool {
	return e.code == http.StatusServiceUnavailable || e.code == http.StatusTooManyRequests
}

// isRefusal reports whether a poll failed because the service refused it.
func isRefusal(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.isRefusal()
}

// poll makes one call, for a full snapshot or for the changes since the last list, and publishes the answer. A
// panic becomes an error, without its stack, so that the watch goes on.
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

// nextCall prepares the next call, which Reconfigure cancels if the address changes. At a new address the index from
// the old one is meaningless. The query's wait, for how long the service may hold the call, is in milliseconds.
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

// callTimeout returns after how long a call is given up. A watch call that has no changes is answered when the
// service has held it for as long as it was asked to, and a bit later over the network.
func callTimeout(timeouts policy.DiscoveryTimeouts, state *watchState) time.Duration {
	if state.needsSnapshot {
		return timeouts.Snapshot
	}
	return timeouts.Watch + timeouts.WatchGrace
}

// dialTimeout returns how long the connection for a call may take. It is no longer than a snapshot may, so that
// a watch call does not spend its long wait on a connection that never comes up.
func dialTimeout(timeouts policy.DiscoveryTimeouts, call time.Duration) time.Duration {
	return min(call, timeouts.Snapshot)
}

// fetch makes a call and returns the list in its answer. Its error is a *statusError if the service answered
// without a list.
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
		_ = response.Body.Close() // the list has been read or is not needed
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
