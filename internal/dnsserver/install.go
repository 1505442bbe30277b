package dnsserver

import (
	"fmt"

	"fawnplank/internal/dnszone"
)

// publication is the form in which install publishes the list of a zone.
type publication int

const (
	asDifference publication = iota // from the list in force, or as the full list if none is in force
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

// install puts a zone in force and publishes its list. The caller holds the lock.
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

// publish publishes a difference, unless it is empty. The caller holds the lock.
func (s *Server) publish(updated []dnszone.Backend, removed []string) {
	if len(updated)+len(removed) > 0 {
		s.options.Publish(BackendListUpdate{Updated: updated, Removed: removed})
	}
}

// publishFullList publishes the full list. The caller holds the lock.
func (s *Server) publishFullList() {
	s.options.Publish(BackendListUpdate{Updated: s.zone.Backends(), Full: true})
}

// PublishFullList publishes the full list again, if there is a zone.
func (s *Server) PublishFullList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone != nil {
		s.publishFullList()
	}
}
