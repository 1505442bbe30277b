package store

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

const (
	// confirmationRetryInterval is the time between two attempts to confirm the state.
	confirmationRetryInterval = 50 * time.Millisecond
	// minConfirmationTimeout bounds the first attempt. Each further attempt has twice the time of the one before, up to
	// forwardTimeout: a leader that has fallen silent is soon replaced, and a large state needs more time.
	minConfirmationTimeout = 500 * time.Millisecond
	// leaderStateRefreshInterval is the time between two fetches of the leader's state until Raft has applied as much.
	leaderStateRefreshInterval = 500 * time.Millisecond
)

// Confirmed returns a channel that is closed once the state of this replica is known to include every command that was
// committed before Open.
//
// The directory of a replica does not record which of its log entries are committed. Until the leader sends them
// again, the state is that of the last snapshot, or empty; and a leader that has failed to reach this replica for a
// while waits for up to ten seconds before it tries again. Therefore the replica fetches the leader's state when it
// starts, and again every leaderStateRefreshInterval, and reads use that state until Raft has applied as much.
//
// While no leader with a quorum is in reach, the channel stays open and the attempts continue.
func (s *Store) Confirmed() <-chan struct{} { return s.confirmed }

// confirmState attempts to confirm the state until it succeeds or the store is closed. It then keeps the leader's state
// up to date for as long as reads use it.
func (s *Store) confirmState() {
	begin := time.Now()
	timeout := minConfirmationTimeout
	for {
		err := s.attemptConfirmation(timeout)
		if err == nil {
			close(s.confirmed)
			logging.For(logComponent).WithFields(logrus.Fields{
				"store_index": s.AppliedIndex(),
				"duration_ms": time.Since(begin).Milliseconds(),
			}).Info("state confirmed")
			s.refreshLeaderState()
			return
		}
		logging.For(logComponent).WithError(err).Debug("state not confirmed")
		timeout = min(2*timeout, forwardTimeout)
		if !s.pause(confirmationRetryInterval) {
			return
		}
	}
}

// refreshLeaderState fetches the leader's state again until Raft has applied as much or the store is closed. Otherwise
// an edit that is committed meanwhile would reach this replica only when the leader sends the log again.
func (s *Store) refreshLeaderState() {
	for s.usesLeaderState() && s.pause(leaderStateRefreshInterval) {
		if err := s.attemptConfirmation(forwardTimeout); err != nil {
			logging.For(logComponent).WithError(err).Debug("leader's state not fetched")
		}
	}
}

// pause waits for a duration. It returns false at once if the store is closed meanwhile.
func (s *Store) pause(duration time.Duration) bool {
	select {
	case <-s.closed:
		return false
	case <-time.After(duration):
		return true
	}
}

// attemptConfirmation confirms the state: on the leader by a quorum, and on any other replica by fetching the leader's
// state within the timeout.
func (s *Store) attemptConfirmation(timeout time.Duration) error {
	if s.isLeader() {
		return s.confirmLeadership()
	}
	_, address, err := s.leaderAPI()
	if err != nil {
		return err
	}
	ctx, cancel := s.contextUntilClosed(timeout)
	defer cancel()
	state, err := s.fetchLeaderState(ctx, address)
	if err != nil {
		return err
	}
	s.installLeaderState(state)
	return nil
}

// contextUntilClosed returns a context that ends after the timeout, or when the store is closed.
func (s *Store) contextUntilClosed(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		select {
		case <-s.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetchLeaderState returns the state of the leader whose API has the address. It includes every command that was
// committed before the call, because the leader confirms its leadership before it answers.
func (s *Store) fetchLeaderState(ctx context.Context, address string) (*kv.State, error) {
	response, err := s.requestLeader(ctx, http.MethodGet, address, backupPath, nil)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return nil, newStatusError(response)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return kv.DecodeSnapshot(content)
}

// installLeaderState makes reads use the leader's state until Raft has applied as much on this replica, and reports the
// keys that it changes.
func (s *Store) installLeaderState(state *kv.State) {
	s.mu.Lock()
	if state.AppliedIndex() <= s.readableState().AppliedIndex() {
		s.mu.Unlock()
		return
	}
	keys := changedKeys(s.readableState(), state)
	s.leaderState = state
	s.mu.Unlock()
	s.reportChanged(keys)
}

// readableState returns the state that reads use: the newer of the state that Raft has applied and the one that was
// fetched from the leader at the start. The caller holds mu.
func (s *Store) readableState() *kv.State {
	if s.leaderState != nil {
		return s.leaderState
	}
	return s.state
}

func (s *Store) usesLeaderState() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaderState != nil
}

// dropOutdatedLeaderState frees the state that was fetched from the leader once Raft has applied as much. The caller
// holds mu for writing.
func (s *Store) dropOutdatedLeaderState() {
	if s.leaderState != nil && s.state.AppliedIndex() >= s.leaderState.AppliedIndex() {
		s.leaderState = nil
	}
}
