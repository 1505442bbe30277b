package frontend

import "errors"

// errRequestIDInUse is sent on the wire.
var errRequestIDInUse = errors.New("id is that of an open transaction")

// claimRequestID registers the id of a request that is about to be submitted. It returns false if a request
// with that id is open.
func (s *Server) claimRequestID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, inUse := s.requestIDs[id]
	s.requestIDs[id] = struct{}{}
	return !inUse
}

// releaseRequestID makes the id of a request that has ended free again.
func (s *Server) releaseRequestID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requestIDs, id)
}
