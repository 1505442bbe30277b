package frontend

import (
	"time"

	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// drainRejectDelay is the age of a drain from which on requests are rejected. By the rule at drainDelay, a request
// taken after 2 s may cost its connection; the last one is taken 0.2 s before that.
const drainRejectDelay = 1800 * time.Millisecond

// rejectsRequests reports whether requests are rejected with -BUSY because of a drain: from drainRejectDelay on, until
// the drain ends.
//
// This is the one rejection of a request that package policy does not decide, since it depends on nothing but the age
// of the drain. It guards against a load balancer that has missed the drain and goes on filling the instance with
// requests, whose connections it would count as lost.
//
// Input: the age of the drain, a monotonic duration. The client gets -BUSY without Retry-After, and its connection
// ends.
func (s *Server) rejectsRequests() bool {
	age, draining := s.drain.age()
	return draining && age > drainRejectDelay
}

// rejectForDrain answers a request that rejectsRequests rejects, and counts it.
func (c *connection) rejectForDrain(class policy.ClassID) {
	c.server.metrics.RequestAnswered(class, metrics.RequestRejected)
	c.server.rejectedRequests.Add(1)
	c.respondLine("-BUSY")
}

// answerPing answers PING: with an error from the beginning of a drain on, so that the load balancer opens no more
// connections to this instance.
func (c *connection) answerPing() {
	if !c.server.Draining() {
		c.respondLine("+PONG")
		return
	}
	c.server.rejectedPings.Add(1)
	c.respondLine("-ERR draining")
}
