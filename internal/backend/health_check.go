package backend

import (
	"bytes"
	"context"
	"net"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// ping is the whole of a health check; a healthy backend answers it with a status line.
const ping = "*1\r\n$4\r\nPING\r\n"

// CheckHealth asks a backend whether it answers, and passes the outcome to the Pool's HandleHealthCheck. It
// does not block; the check as a whole takes no longer than a connection may take to come up.
func (p *Pool) CheckHealth(backend policy.BackendID) {
	go func() {
		defer stopPanic()
		p.handleHealthCheck(backend, p.checkHealth(backend))
	}()
}

// checkHealth runs one check on a connection of its own, which counts among the Pool's: health checks have no
// descriptors set aside for them.
func (p *Pool) checkHealth(backend policy.BackendID) error {
	address, err := p.reserveForCheck(backend)
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err}
	}
	defer p.releaseReservation()
	deadline := time.Now().Add(p.connectTimeout)
	dialer := net.Dialer{Timeout: p.connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err}
	}
	defer func() {
		_ = conn.Close() // the outcome stands already
	}()
	_ = conn.SetDeadline(deadline) // it fails only on a closed connection, which the write reports
	return exchangePing(conn)
}

// reserveForCheck counts a connection for a check and returns the address to connect to.
func (p *Pool) reserveForCheck(backend policy.BackendID) (address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[backend]
	if e == nil {
		return "", errNoAddress
	}
	return e.address, p.reserve()
}

// exchangePing sends the ping and judges the answer by its first bytes.
func exchangePing(conn net.Conn) error {
	if _, err := conn.Write([]byte(ping)); err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Writing, Err: err}
	}
	var answer [64]byte
	n, err := conn.Read(answer[:])
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Written, Err: err}
	}
	if !bytes.HasPrefix(answer[:n], []byte("+")) {
		return dispatch.ErrBackendFailed
	}
	return nil
}
