package frontend

import (
	"time"

	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// drainRejectDelay is the age of a drain from which on requests are rejected. By the operators' rule, which the comment
// of drainDelay describes, a connection may count as lost if a request arrives on it later than 2 s after the start of
// the drain. The server accepts the last request 0.2 s before that.
const drainRejectDelay = 1800 * time.Millisecond

// rejectsRequests reports whether requests are rejected with -BUSY because of a drain: from drainRejectDelay on, until
// the drain ends.
//
// This is the only rejection that package policy does not decide, since it depends on nothing but the age of the drain,
// which is a monotonic duration. It protects against a load balancer that has missed the drain and continues to send
// requests to the instance: it would count the connections of these requests as lost. The client receives -BUSY without
// Retry-After, and its connection is closed.
func (s *Server) rejectsRequests() bool {
	age, draining := s.drain.age()
	return draining && age > drainRejectDelay
}

// rejectForDrain responds to a request that is rejected because of a drain, and counts it.
func (c *connection) rejectForDrain(class policy.ClassID) {
	c.server.metrics.RequestAnswered(class, metrics.RequestRejected)
	c.server.rejectedRequests.Add(1)
	c.respondLine("-BUSY")
}

// answerPing responds to PING. During a drain the response is an error, so that the load balancer opens no more
// connections to this instance.
func (c *connection) answerPing() {
	if !c.server.Draining() {
		c.respondLine("+PONG")
		return
	}
	c.server.rejectedPings.Add(1)
	c.respondLine("-ERR draining")
}
