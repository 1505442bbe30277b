package frontend

import (
	"bytes"
	"time"

	"fawnplank/internal/metrics"
	"fawnplank/internal/resp"
	"fawnplank/policy"
)

// memoryWaitDivisor bounds the wait of a request for memory to a part of the time that its client waits for the answer.
// By the operators' protocol a request that is refused after more than half of its time costs extra.
const memoryWaitDivisor = 2

// refusedCommand is a request that is refused for lack of memory before all of it was read. The rest of it is read and
// discarded, and it is then answered with a rejection. The client may retry it, since it never ran.
type refusedCommand struct {
	class       policy.ClassID
	size        int // in bytes
	unreadBytes int // bytes of the request that are not read yet; 0 if no request is being refused
}

// isActive reports whether a request is being refused.
func (r *refusedCommand) isActive() bool { return r.unreadBytes > 0 }

// incompleteRequest is a request of which everything but a part of the body was read.
type incompleteRequest struct {
	head requestHead
	size int // of the whole request, in bytes
}

// parseIncompleteRequest parses the head of an incomplete command. ok is false if it is not a valid request of which
// only a part of the body is missing.
func (c *connection) parseIncompleteRequest(incomplete *resp.IncompleteCommand) (request incompleteRequest, ok bool) {
	args := incomplete.Args
	if !incomplete.OnlyLastMissing || len(args) != maxRequestArgs-1 || !isRequestName(bytes.ToUpper(args[0])) {
		return incompleteRequest{}, false
	}
	request = incompleteRequest{head: requestHead{config: c.server.config.Load()}, size: incomplete.LeastSize}
	return request, request.head.parse(args) == nil
}

// requestMemoryWait returns how long the reader may wait for memory for the request: the final answer must come before
// the client's deadline, even if the rest of the request has already arrived.
func (c *connection) requestMemoryWait(request *incompleteRequest) time.Duration {
	wait := request.head.remaining/memoryWaitDivisor - c.reader.arrivals.unreadWait(time.Now())
	return min(wait, c.commandMemoryWait())
}

// commandMemoryWait returns how long the reader may wait for memory for any command. Behind an open request it does
// not wait: the client's end could not be detected behind more bytes than the kernel takes, and attempts would be
// made for a client that has left.
func (c *connection) commandMemoryWait() time.Duration {
	if c.requestsInFlight.Load() > 0 {
		return 0
	}
	return commandTimeout
}

// startRefusal discards the part of a request that was read, with its memory.
func (c *connection) startRefusal(request *incompleteRequest) {
	r := &c.reader
	r.refused = refusedCommand{
		class:       request.head.class,
		size:        request.size,
		unreadBytes: request.size - r.bufferedBytes,
	}
	c.shrinkBuffer()
}

// skipRefused removes the bytes of a request that is being refused from the beginning of input, and answers the request
// once all of them are read.
func (c *connection) skipRefused(input []byte) (rest []byte) {
	r := &c.reader
	if !r.refused.isActive() {
		return input
	}
	skipped := min(r.refused.unreadBytes, len(input))
	r.refused.unreadBytes -= skipped
	if r.refused.isActive() {
		c.restartCommandWait()
	} else {
		c.answerRefused()
	}
	return input[skipped:]
}

// answerRefused answers a request that was refused for lack of memory.
func (c *connection) answerRefused() {
	r := &c.reader
	r.arrivals.recordHandled(r.refused.size)
	c.receivedRequests.Add(1)
	c.server.receivedRequests.Add(1)
	c.server.metrics.RequestAnswered(r.refused.class, metrics.RequestRejected)
	c.respondLine("-BUSY")
	c.recordValidCommand()
}
