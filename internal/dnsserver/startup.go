package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"fawnplank/internal/logging"
)

// startRetryInterval is the time between two attempts to lock the journal of a process that is ending, or to
// load the zone from the store.
const startRetryInterval = 200 * time.Millisecond

// startState is how far a start has come.
type startState int

const (
	startComplete        startState = iota // the zone is loaded and the server listens
	startWaitsForJournal                   // another process has the journal; the zone is loaded from it
	startWaitsForStore                     // this replica has no complete zone, and the store accepts none
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

// start locks the journal, loads the zone and listens, as far as that is possible now.
func (s *Server) start(nowNanos int64) (startState, error) {
	lockedByAnother, err := s.tryLockJournal()
	if err != nil {
		return 0, err
	}
	err = s.lockAndLoad(nowNanos)
	if s.options.ReplicatedZone != nil && (errors.Is(err, errReplicaBehind) || errors.Is(err, errStoreUnavailable)) {
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

// tryLockJournal locks the journal, if the options name one that is used. It reports whether another process
// has it.
func (s *Server) tryLockJournal() (lockedByAnother bool, err error) {
	if s.options.JournalFile == "" || s.options.ReplicatedZone != nil {
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

// lockAndLoad loads the zone while it holds the lock.
func (s *Server) lockAndLoad(nowNanos int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load(nowNanos)
}

// awaitJournal adopts the changes in another process's journal, and locks the journal when that process ends.
// During an upgrade both processes run. It gives up only when the server closes.
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

// retryJournal reads the journal again, and reports whether this process has it now.
func (s *Server) retryJournal() bool {
	journal, lockErr := lockJournal(s.options.JournalFile)
	// The mutex is held across both steps, because a reload between them would store a zone that is out of
	// date.
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

// awaitStore waits until the store accepts a zone, which requires a leader, and then listens. It gives up only
// when the server closes.
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
