package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// maxListBytes bounds a list: it holds some ten thousand endpoints.
const maxListBytes = 4 << 20

// errRefused means that the discovery service answered that it has no capacity for the call.
var errRefused = errors.New("refused")

// watchState is the state that the watch keeps from one poll to the next.
type watchState struct {
	needsSnapshot  bool // if false, the changes since the last list are enough
	failing        bool // the last poll failed; an outage is logged once
	addressVersion int  // of the last poll
}

// watch polls the discovery service whenever it is asked to, until a failure. It ends with ctx.
func (c *Client) watch(ctx context.Context) {
	// With a list, however old, the changes since then are enough.
	state := watchState{needsSnapshot: !c.publisher.hasEndpoints()}
	for {
		select {
		case <-c.requested:
			c.watchUntilFailure(ctx, &state)
		case <-ctx.Done():
			return
		}
	}
}

// watchUntilFailure polls repeatedly. On a failure it notifies the subscriber and returns. The end of ctx is
// no failure: it returns without notifying anybody.
func (c *Client) watchUntilFailure(ctx context.Context, state *watchState) {
	for {
		err := c.poll(ctx, state)
		if ctx.Err() != nil {
			return
		}
		if c.addressChangedSince(state) { // the poll's result is from the old address
			c.http.CloseIdleConnections()
			continue
		}
		c.logOutage(state, err)
		if err == nil {
			continue
		}
		// The watch is broken, and the content of the lost answer is unknown, so a full snapshot is needed. After a
		// refusal it is not: the service did not process the call, so the index is still valid, and a request for
		// the changes since then costs the service less than a full snapshot.
		state.needsSnapshot = state.needsSnapshot || !errors.Is(err, errRefused)
		c.publisher.subscriber.UpdateEndpoints(policy.UpdateFailed, nil)
		return
	}
}

func (c *Client) addressChangedSince(state *watchState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressVersion != state.addressVersion
}

// logOutage logs the beginning and the end of an outage.
func (c *Client) logOutage(state *watchState, err error) {
	failing := err != nil
	if failing == state.failing {
		return
	}
	state.failing = failing
	entry := logging.For(logComponent).WithField("failing", failing)
	if failing {
		entry.WithError(err).Warn("endpoint watch failed")
		return
	}
	entry.Warn("endpoint watch resumed")
}

// poll makes one call, for a full snapshot or for the changes since the last list, and publishes the answer.
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
	kind := policy.Delta
	if list.Snapshot {
		kind = policy.FullSnapshot
	}
	c.index = list.Index
	c.publisher.publish(kind, list.Endpoints)
	return nil
}

// pollCall is one call to the discovery service.
type pollCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	url    string
}

// nextCall prepares the next call, which SetAddress cancels if the address changes. At a new address the
// index from the old one is meaningless.
func (c *Client) nextCall(ctx context.Context, state *watchState) pollCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.addressVersion != c.addressVersion {
		state.addressVersion = c.addressVersion
		state.needsSnapshot = true
	}
	url := c.url
	timeout := c.timeouts.snapshot
	if !state.needsSnapshot {
		url = fmt.Sprintf("%s?index=%d&wait=%d", c.url, c.index, c.timeouts.watch.Milliseconds())
		timeout = c.timeouts.watch + c.timeouts.lateness
	}
	ctx = withDialTimeout(ctx, min(timeout, c.timeouts.snapshot))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.cancelPoll = cancel
	return pollCall{ctx: ctx, cancel: cancel, url: url}
}

// fetch makes a call and returns the list in its answer.
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
	switch response.StatusCode {
	case http.StatusOK:
		return decodeList(text)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %s", errRefused, response.Status)
	default:
		return nil, errors.New(response.Status)
	}
}
