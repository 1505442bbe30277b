package discovery

import (
	"context"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// failingField is the log field that says whether the watch of the discovery service fails.
const failingField = "failing"

// watchState is the state that the watch keeps from one poll to the next.
type watchState struct {
	needsSnapshot  bool // if false, the changes since the last list are enough
	failing        bool // the last poll failed
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

// watchUntilFailure polls repeatedly. On a failure it notifies the subscriber and returns: it does not wait and
// ask again by itself, since the engine decides when. A request that Reconfigure left, however, makes watch call it
// again at once. The end of ctx is no failure: it returns without notifying anybody.
func (c *Client) watchUntilFailure(ctx context.Context, state *watchState) {
	for {
		err := c.poll(ctx, state)
		if ctx.Err() != nil {
			return
		}
		if c.addressChangedSince(state) { // the poll's result is from the old address
			c.http.CloseIdleConnections() // they are to the old address, which gets no further call
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

// needsSnapshotAfter reports whether the poll after a failed one must ask for a full snapshot. It must if the
// content of a lost answer is unknown. After a refusal it need not: the service did not process the call, so the
// index is still valid, and the changes since then cost the service less than a full snapshot.
func (s *watchState) needsSnapshotAfter(err error) bool {
	return s.needsSnapshot || !isRefusal(err)
}

// logOutage logs the beginning and the end of an outage, so that an outage of many polls is two entries.
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
