package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

const (
	// outlastingAfter is the age of a drain from which on the connections that are still open are logged: later
	// than any idle connection ends, and before the load balancer counts them as lost.
	outlastingAfter = 2500 * time.Millisecond
	// maxOutlastingLogged bounds how many connections one sweep logs, so that a crowd does not flood the log.
	maxOutlastingLogged = 8
)

// logOutlastingConnections logs, once each, connections that are open though a drain has lasted for outlastingAfter:
// those that have not ended, and those that clients have opened since.
func (s *Server) logOutlastingConnections(drainAge time.Duration) {
	if drainAge < outlastingAfter {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	logged := 0
	for c := range s.connections {
		if logged == maxOutlastingLogged {
			return
		}
		if now.Sub(c.acceptedAt) < newConnectionGrace || c.outlastingLogged.Swap(true) {
			continue
		}
		logged++
		c.logOutlasting(now, drainAge)
	}
}

// logOutlasting logs that the connection is open at this age of a drain.
func (c *connection) logOutlasting(now time.Time, drainAge time.Duration) {
	entry := logging.For(logComponent).WithFields(c.logFields(now)).WithField("drain_age", drainAge.String())
	if now.Sub(c.acceptedAt) > drainAge {
		entry.Warn("connection outlasts drain")
	} else {
		entry.Warn("connection opened during drain stays open")
	}
}

// logFields describes the connection for the log. It does not wait for mu, which a writer may hold for long.
func (c *connection) logFields(now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"client":   c.conn.RemoteAddr().String(),
		"open_for": now.Sub(c.acceptedAt).String(),
		"reader":   c.activity.load().String(),
		"received": c.received.Load(),
	}
	if !c.mu.TryLock() {
		fields["writing"] = true
		return fields
	}
	defer c.mu.Unlock()
	fields["peer"] = c.peer.String()
	fields["pending"] = len(c.pending)
	fields["requests"] = c.openRequests()
	return fields
}

// openRequests returns how many of the pending commands are requests. The caller holds mu.
func (c *connection) openRequests() int {
	count := 0
	for _, p := range c.pending {
		if p.isRequest {
			count++
		}
	}
	return count
}
