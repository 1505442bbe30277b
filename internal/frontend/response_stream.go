package frontend

import (
	"fawnplank/internal/dispatch"
	"fawnplank/internal/metrics"
)

// respond answers a request that succeeded, and counts it.
func (p *pendingCommand) respond(step dispatch.Step) {
	c := p.connection
	if step.Stream != nil && !c.writeStream(p, step.Stream) {
		c.server.metrics.RequestAnswered(p.class, metrics.RequestAborted)
		c.complete(p, nil)
		return
	}
	c.server.metrics.RequestAnswered(p.class, metrics.RequestSucceeded)
	p.recordUsage()
	c.complete(p, step.Response)
}

// writeStream writes the value of a response while it arrives, once the command is the next to be answered. It returns
// false if the client does not receive the whole value. The connection is then closed: only its end shows the client
// that the value is not whole.
func (c *connection) writeStream(p *pendingCommand, stream dispatch.ResponseStream) (complete bool) {
	if !c.awaitTurn(p) {
		stream.Abandon()
		return false
	}
	if err := stream.CopyTo(c.writePiece); err != nil {
		c.close()
		return false
	}
	return true
}

// awaitTurn waits until all commands before p are answered. It returns false if the client has disconnected.
func (c *connection) awaitTurn(p *pendingCommand) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.peer.isGone() && c.pending[0] != p {
		c.stateChanged.Wait()
	}
	return !c.peer.isGone()
}

// writePiece writes a piece of the response that is next in order.
func (c *connection) writePiece(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(piece)
}
