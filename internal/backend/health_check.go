package backend

import (
	"bytes"
	"context"
	"net"
	"time"

	"fawnplank/internal/dialer"
	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

const (
	// ping is the entire request of a health check. A healthy backend answers it with a status line.
	ping = "*1\r\n$4\r\nPING\r\n"
	// pongBufferBytes is how much of the answer is read at most. Only the first byte is checked.
	pongBufferBytes = 64
)

// CheckHealth starts a health check of a backend, whose outcome is passed to Options.HandleHealthCheck. It does not
// block. Options.ConnectTimeout bounds the whole check. Close cancels it, and then it has no outcome.
func (p *Pool) CheckHealth(backend policy.BackendID) {
	if !p.addRunning() {
		return
	}
	go func() {
		defer p.running.Done()
		defer recoverPanic()
		err := p.checkHealth(backend)
		if p.ctx.Err() == nil {
			p.handleHealthCheck(backend, err)
		}
	}()
}

// checkHealth runs one check on its own connection, which counts towards MaxConnections, since no descriptors are
// reserved for health checks.
func (p *Pool) checkHealth(backend policy.BackendID) error {
	target, err := p.takeSlotForCheck(backend)
	if err != nil {
		return connectError(err)
	}
	defer p.releaseSlot()
	deadline := time.Now().Add(p.connectTimeout)
	conn, err := p.dialForCheck(target)
	if err != nil {
		return connectError(err)
	}
	defer func() {
		_ = conn.Close() // the outcome is already known
	}()
	stop := p.limitExchange(conn, deadline)
	defer stop()
	return exchangePing(conn)
}

// limitExchange ends the exchange on a health check's connection at the deadline, or immediately when the pool is
// closed. It guards against a backend that accepts connections and does not answer, which would keep the check and
// its descriptor in use and block Close. The caller calls stop when the exchange is over.
func (p *Pool) limitExchange(conn net.Conn, deadline time.Time) (stop func() bool) {
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, which the write reports
	return context.AfterFunc(p.ctx, func() {
		_ = conn.SetDeadline(time.Now()) // fails only if the exchange has ended
	})
}

// dialForCheck opens the connection of a check, to any of the endpoint's addresses.
func (p *Pool) dialForCheck(target *endpoint) (net.Conn, error) {
	order := p.addressOrder(target)
	if len(order) == 0 {
		single := net.Dialer{Timeout: p.connectTimeout}
		return single.DialContext(p.ctx, "tcp4", target.key)
	}
	conn, _, err := dialer.Dial(p.ctx, order, p.connectTimeout)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// takeSlotForCheck takes a slot for the connection of a check and returns the endpoint to connect to.
func (p *Pool) takeSlotForCheck(backend policy.BackendID) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[backend]
	if e == nil {
		return nil, errNoAddress
	}
	return e, p.takeSlot()
}

// exchangePing sends the ping and checks the first byte of the answer.
func exchangePing(conn net.Conn) error {
	if _, err := conn.Write([]byte(ping)); err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Writing, Err: err}
	}
	var answer [pongBufferBytes]byte
	count, err := conn.Read(answer[:])
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Written, Err: err}
	}
	if !bytes.HasPrefix(answer[:count], []byte("+")) {
		return dispatch.ErrBackendFailed
	}
	return nil
}
