package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"fawnplank/internal/logging"
)

// startRetryInterval is the delay between two attempts to lock a journal that another process has locked, or to load
// the zone from the store.
const startRetryInterval = 200 * time.Millisecond

// startState is the state in which a start leaves the server.
type startState int

const (
	startComplete        startState = iota // the zone is loaded and the server listens
	startWaitsForJournal                   // the zone is loaded, but another process has locked the journal
	startWaitsForStore                     // no zone is loaded: this replica is behind, or the store accepts no writes
)

// String returns the state's name.
func (s startState) String() string {
	switch s {
	case startComplete:
		return "complete"
	case startWaitsForJournal:
		return "waits for journal"
	case startWaitsForStore:
		return "waits for store"
	}
	return fmt.Sprintf("startState(%d)", int(s))
}

// start locks the journal, loads the zone and listens, unless it has to wait for the journal or the store.
func (s *Server) start(nowNanos int64) (startState, error) {
	lockedByAnother, err := s.tryLockJournal()
	if err != nil {
		return 0, err
	}
	err = s.lockAndLoad(nowNanos)
	if s.options.ReplicatedStore != nil && (errors.Is(err, errReplicaBehind) || errors.Is(err, errStoreUnavailable)) {
		return startWaitsForStore, nil
	}
	if err != nil {
		return 0, err
	}
	if lockedByAnother {
		return startWaitsForJournal, nil
	}
	return startComplete, s.listen()
}

// tryLockJournal locks the journal if the server uses one. It reports whether another process has locked the journal.
func (s *Server) tryLockJournal() (lockedByAnother bool, err error) {
	if s.options.JournalFile == "" || s.options.ReplicatedStore != nil {
		return false, nil
	}
	journal, err := lockJournal(s.options.JournalFile)
	if errors.Is(err, errJournalLocked) {
		return true, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = journal
	return false, err
}

// lockAndLoad acquires the lock and loads the zone.
func (s *Server) lockAndLoad(nowNanos int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load(nowNanos)
}

// awaitJournal follows the changes in a journal that another process has locked, as the old process has during an
// upgrade. Once that process unlocks the journal, awaitJournal locks it and listens. It stops early only when the
// server closes.
func (s *Server) awaitJournal() {
	for s.pause(startRetryInterval) {
		if !s.retryJournal() {
			continue
		}
		if err := s.listen(); err != nil {
			logging.For(component).WithError(err).Error("listen failed")
		}
		return
	}
}

// retryJournal tries to lock the journal, and reads the zone again in any case. It reports whether this process has
// locked the journal.
func (s *Server) retryJournal() bool {
	journal, lockErr := lockJournal(s.options.JournalFile)
	// The mutex is held until the zone is loaded. A reload between the two assignments would store a zone that lacks
	// the other process's last changes.
	s.mu.Lock()
	defer s.mu.Unlock()
	if lockErr == nil {
		s.journal = journal
	}
	if err := s.load(time.Now().UnixNano()); err != nil {
		logging.For(component).WithError(err).Error("journal not readable")
	}
	return lockErr == nil
}

// awaitStore retries until the zone is loaded, for which the store may need a leader, and then listens. It stops early
// only when the server closes.
func (s *Server) awaitStore() {
	lastError := "" // each error is logged once
	for {
		err := s.lockAndLoad(time.Now().UnixNano())
		if err == nil {
			err = s.listen()
		}
		if err == nil {
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			logging.For(component).WithError(err).Warn("zone not loaded; retrying")
		}
		if !s.pause(startRetryInterval) {
			return
		}
	}
}
