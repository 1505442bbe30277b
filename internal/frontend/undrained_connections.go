package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

const (
	// undrainedLogDelay is the age of a drain from which on connections that are still open are logged. By then every
	// idle connection has been closed, and the load balancer does not count open connections as lost yet.
	undrainedLogDelay = 2500 * time.Millisecond
	// maxUndrainedLogged limits the connections that one sweep logs, so that many open connections do not flood the
	// log.
	maxUndrainedLogged = 8
)

// logUndrainedConnections logs the connections that are open once a drain has lasted for undrainedLogDelay, each of
// them once. They were either not closed since the start of the drain or opened during it.
func (s *Server) logUndrainedConnections(drainAge time.Duration) {
	if drainAge < undrainedLogDelay {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	logged := 0
	for c := range s.connections {
		if logged == maxUndrainedLogged {
			return
		}
		if now.Sub(c.acceptedAt) < newConnectionGrace || c.undrainedLogged.Swap(true) {
			continue
		}
		logged++
		c.logUndrained(now, drainAge)
	}
}

// logUndrained logs that the connection is still open during a drain of the given age.
func (c *connection) logUndrained(now time.Time, drainAge time.Duration) {
	entry := logging.For(logComponent).WithFields(c.logFields(now)).WithField("drain_age", drainAge.String())
	if now.Sub(c.acceptedAt) > drainAge {
		entry.Warn("connection outlasts drain")
	} else {
		entry.Warn("connection opened during drain stays open")
	}
}

// logFields returns the fields that describe the connection in the log. It does not wait for mu, which may be held for
// a long time while a response is written.
func (c *connection) logFields(now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"client":   c.conn.RemoteAddr().String(),
		"open_for": now.Sub(c.acceptedAt).String(),
		"reader":   c.activity.load().String(),
		"received": c.receivedRequests.Load(),
	}
	if !c.mu.TryLock() {
		fields["writing"] = true
		return fields
	}
	defer c.mu.Unlock()
	fields["peer"] = c.peer.String()
	fields["pending"] = len(c.pending)
	fields["requests"] = c.countPendingRequests()
	return fields
}

// countPendingRequests returns the number of requests among the pending commands. The caller holds mu.
func (c *connection) countPendingRequests() int {
	count := 0
	for _, p := range c.pending {
		if p.isRequest {
			count++
		}
	}
	return count
}
