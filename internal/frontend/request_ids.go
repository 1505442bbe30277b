package frontend

import "errors"

// errRequestIDInUse is the error for an id that belongs to an open request. Its text is sent to the client.
var errRequestIDInUse = errors.New("id is that of an open transaction")

// claimRequestID registers the id of a request that is about to be submitted. It returns false if an open request has
// the same id.
func (s *Server) claimRequestID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, inUse := s.requestIDs[id]
	s.requestIDs[id] = struct{}{}
	return !inUse
}

// releaseRequestID removes the id of a request that has ended, so that the id can be used again.
func (s *Server) releaseRequestID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requestIDs, id)
}
