package dnsserver

import (
	"fmt"

	"fawnplank/internal/dnszone"
)

// publication is the form in which install publishes a zone's list of backends.
type publication int

const (
	asDifference publication = iota // from the list published before, or the full list if there is none
	asFullList
)

// String returns the name of the form.
func (p publication) String() string {
	switch p {
	case asDifference:
		return "difference"
	case asFullList:
		return "full list"
	}
	return fmt.Sprintf("publication(%d)", int(p))
}

// install makes a stored zone the current zone and publishes its list of backends. The caller holds the lock.
func (s *Server) install(stored *storedZone, form publication) {
	oldZone := s.zone
	s.zone = stored.zone
	s.fileSum = stored.fileSum
	s.changes = stored.changes
	s.publishedZone.Store(s.zone)
	for _, change := range stored.changes {
		s.replayGuard.RecordOutcome(change.Signature, dnszone.Outcome{}, change.AcceptedNanos)
	}
	if form == asFullList || oldZone == nil {
		s.publishFullList()
	} else {
		updated, removed := dnszone.DiffBackends(oldZone, s.zone)
		s.publish(updated, removed)
	}
	s.signalSecondaries()
}

// publish publishes a difference to the list unless the difference is empty. The caller holds the lock.
func (s *Server) publish(updated []dnszone.Backend, removed []string) {
	if len(updated)+len(removed) > 0 {
		s.options.Publish(BackendListUpdate{Updated: updated, Removed: removed})
	}
}

// publishFullList publishes the full list. The caller holds the lock.
func (s *Server) publishFullList() {
	s.options.Publish(BackendListUpdate{Updated: s.zone.Backends(), Full: true})
}

// PublishFullList publishes the full list again. It does nothing while no zone is loaded.
func (s *Server) PublishFullList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone != nil {
		s.publishFullList()
	}
}
