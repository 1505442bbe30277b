package frontend

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// pendingCommand is a command whose response is not written yet. A command is either a request or is answered at once.
type pendingCommand struct {
	connection    *connection
	isRequest     bool              // false if the command is answered at once
	request       *dispatch.Request // nil until a request is submitted, and if the command is answered at once
	class         policy.ClassID
	id            string
	raw           []byte        // the command as it was received
	fields        span          // the position in raw of the list of names and values
	remaining     span          // the position in raw of the value of d
	response      []byte        // nil until the command is completed
	budgetedBytes int64         // bytes acquired from the memory budget for raw
	pipelineBytes int64         // bytes acquired from the memory budget until the response is written
	usage         *requestUsage // nil if usage is not recorded
	idempotency   policy.Idempotency
	attemptBegun  atomic.Bool     // a byte of an attempt may have been written
	finalAction   dispatch.Action // set before the command is completed
}

// handleRequest parses and submits a request, or answers it with an error or a rejection. valid is false if the
// response is an error.
func (c *connection) handleRequest(raw []byte, args [][]byte) (valid bool) {
	c.receivedRequests.Add(1)
	c.server.receivedRequests.Add(1)
	head := requestHead{config: c.server.config.Load()}
	if err := head.parse(args); err != nil {
		c.respondInvalidRequest(&head, err)
		return false
	}
	if c.server.rejectsRequests() {
		c.rejectForDrain(head.class)
		return true
	}
	if err := c.submit(&head, raw); err != nil {
		c.respondInvalidRequest(&head, err)
		return false
	}
	return true
}

// respondInvalidRequest answers an invalid request with an error, and counts it for its class if the class is known.
func (c *connection) respondInvalidRequest(head *requestHead, err error) {
	if head.hasClass {
		c.server.metrics.RequestAnswered(head.class, metrics.RequestAborted)
	}
	c.respondInvalid(err.Error())
}

// submit adds a request to the pending commands and submits it to the dispatcher. If the connection ends before that,
// submit does neither and returns no error, since a response could not be delivered.
func (c *connection) submit(head *requestHead, raw []byte) error {
	p := &pendingCommand{
		connection: c,
		isRequest:  true,
		class:      head.class,
		id:         string(head.id),
		raw:        raw,
		fields:     spanOf(raw, head.fields),
		remaining:  spanOf(raw, head.remainingText),

		idempotency: head.config.Settings.Classes[head.class].Idempotency,
	}
	if err := c.server.claimRequestID(p); err != nil {
		return err
	}
	if !c.enqueue(p) {
		c.server.releaseRequestID(p)
		return nil
	}
	c.detachFromBuffer(p)
	plan := p.resolvePlan(head)
	c.server.metrics.RequestReceived()
	p.request = c.server.dispatcher.Submit(dispatch.RequestSpec{
		Class:         head.class,
		Plan:          plan,
		Tenant:        head.tenant,
		Remaining:     head.remaining - c.waitSinceArrival(),
		Units:         head.units,
		EntryPoints:   head.entryPoints,
		FirstInstance: head.firstInstance,
	})
	go p.run()
	return nil
}

// run carries out the steps that the dispatcher returns for a request, up to its response.
func (p *pendingCommand) run() {
	defer p.recoverPanic()
	for {
		step := p.request.NextStep()
		if step.Action != dispatch.Send {
			p.handleFinalStep(step)
			return
		}
		p.connection.server.pool.Send(step.Attempt, p)
	}
}

// recoverPanic recovers from a panic in the goroutine of a request and answers the request with an error, so that the
// process survives and the responses behind this one are written.
func (p *pendingCommand) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	logging.LogPanic(logComponent, fmt.Sprintf("request %s: %v", p.id, cause), debug.Stack())
	p.request.HandleClientGone()
	p.connection.server.metrics.RequestAnswered(p.class, metrics.RequestAborted)
	p.connection.complete(p, []byte("-ERR internal fault\r\n"))
}

// handleFinalStep responds to a request according to its final step, and counts the outcome.
func (p *pendingCommand) handleFinalStep(step dispatch.Step) {
	c := p.connection
	s := c.server
	p.finalAction = step.Action
	switch step.Action {
	case dispatch.Respond:
		p.respond(step)
	case dispatch.Reject:
		s.metrics.RequestAnswered(p.class, metrics.RequestRejected)
		c.complete(p, busyResponse(step.RetryAfter))
	case dispatch.Abort:
		s.metrics.RequestAnswered(p.class, metrics.RequestAborted)
		c.complete(p, []byte("-ERR failed\r\n"))
	default: // the client has disconnected
		c.complete(p, nil)
	}
}
