package dnsserver

import "time"

// fileRetryInterval is the delay between two attempts to store a zone file. An attempt may hold the server's lock until
// the store's client times out, and changes in the store wait meanwhile.
const fileRetryInterval = time.Second

// retryAdoption makes the file the one that is pending, and starts the goroutine that repeats the attempts to adopt it,
// unless that goroutine runs already or the server is closed. The caller holds the lock.
func (s *Server) retryAdoption(file zoneFile) {
	s.pendingFile = &file
	if s.retryingFile || s.closed {
		return
	}
	s.retryingFile = true
	s.startupGoroutine.Go(s.adoptPendingFile)
}

// adoptPendingFile repeats the attempts until no file is pending or the server is closed.
func (s *Server) adoptPendingFile() {
	for s.pause(fileRetryInterval) {
		if !s.attemptPendingFile(time.Now().UnixNano()) {
			return
		}
	}
}

// attemptPendingFile makes one attempt to adopt the pending file. It reports whether a file is still pending.
func (s *Server) attemptPendingFile(nowNanos int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingFile != nil && s.attemptAdoption(*s.pendingFile, nowNanos) == nil {
		s.pendingFile = nil
	}
	s.retryingFile = s.pendingFile != nil
	return s.retryingFile
}
