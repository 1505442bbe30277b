package discovery

import (
	"context"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// failingField is the log field for whether the watch of the discovery service is failing.
const failingField = "failing"

// watchState is the state that the watch keeps from one poll to the next.
type watchState struct {
	needsSnapshot  bool // if false, the next poll requests only the changes since the last list
	failing        bool // the last poll failed
	addressVersion int  // addressVersion of the client at the last poll
}

// watch polls the discovery service from each watch request until the next failure. It returns when ctx is canceled.
func (c *Client) watch(ctx context.Context) {
	// If there is a list, however old, requesting the changes since its index is enough.
	state := watchState{needsSnapshot: !c.publisher.hasEndpoints()}
	for {
		select {
		case <-c.watchRequested:
			c.watchUntilFailure(ctx, &state)
		case <-ctx.Done():
			return
		}
	}
}

// watchUntilFailure polls repeatedly. On a failure it notifies the subscriber and returns: the engine decides when to
// poll again. A remaining request from Reconfigure, however, makes watch call it again immediately. The cancellation
// of ctx is not a failure: watchUntilFailure then returns without a notification.
func (c *Client) watchUntilFailure(ctx context.Context, state *watchState) {
	for {
		err := c.poll(ctx, state)
		if ctx.Err() != nil {
			return
		}
		if c.addressChangedSince(state) { // the poll's result is from the old address
			c.http.CloseIdleConnections() // they lead to the old address, which gets no further calls
			continue
		}
		state.logOutage(err)
		if err == nil {
			continue
		}
		state.needsSnapshot = state.needsSnapshotAfter(err)
		c.publisher.subscriber.UpdateEndpoints(policy.UpdateFailed, nil)
		return
	}
}

func (c *Client) addressChangedSince(state *watchState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressVersion != state.addressVersion
}

// needsSnapshotAfter reports whether the poll after a failed one must request a full snapshot. It must if an answer
// may have been lost, since its content is unknown. After a refusal it need not: the service did not process the call,
// so the index is still valid, and the changes since that index cost the service less than a full snapshot.
func (s *watchState) needsSnapshotAfter(err error) bool {
	return s.needsSnapshot || !isRefusal(err)
}

// logOutage logs only the beginning and the end of an outage, however many polls fail.
func (s *watchState) logOutage(err error) {
	failing := err != nil
	if failing == s.failing {
		return
	}
	s.failing = failing
	entry := logging.For(logComponent).WithField(failingField, failing)
	if failing {
		entry.WithError(err).Warn("endpoint watch failed")
		return
	}
	entry.Warn("endpoint watch resumed")
}
