package backend

import (
	"net"
	"net/netip"
	"slices"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/sock"
)

// dialAndWrite opens the connection for which acquire took a slot and writes the attempt to it.
func (p *Pool) dialAndWrite(target *endpoint, attempt *dispatch.Attempt, command Command) {
	defer recoverPanic()
	c, err := p.dial(target)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	c.write(attempt, command)
}

// dial opens the connection for which acquire took a slot and starts its reader. From then on, the connection's close
// releases the slot.
func (p *Pool) dial(target *endpoint) (*conn, error) {
	socket, err := p.connect(target)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	c := &conn{
		pool:         p,
		endpoint:     target,
		socket:       socket,
		idleDuration: noIdleDuration,
		readerDone:   make(chan struct{}),
	}
	go c.read()
	return c, nil
}

// connect opens a connection to one of an endpoint's addresses. connectTimeout bounds a dial to an address that does
// not answer. No dial outlasts the pool: Close cancels it and waits for it.
func (p *Pool) connect(target *endpoint) (*sock.Conn, error) {
	if !p.addRunning() {
		return nil, net.ErrClosed
	}
	defer p.running.Done()
	order := p.addressOrder(target)
	if len(order) == 0 {
		return sock.Dial(p.ctx, target.key, p.connectTimeout)
	}
	socket, accepted, err := sock.DialAny(p.ctx, order, p.connectTimeout)
	if err == nil && accepted > 0 {
		p.moveToFront(target, order, accepted)
	}
	return socket, err
}

// addressOrder returns the addresses of an endpoint that has several, in the order to try them.
func (p *Pool) addressOrder(target *endpoint) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return target.addresses
}

// moveToFront makes the address that accepted a connection the first one to try. order lists the addresses in the
// order in which they were tried, and accepted is the index of that address.
func (p *Pool) moveToFront(target *endpoint, order []netip.AddrPort, accepted int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// This creates a new slice, since another dial may be iterating over the old one.
	target.addresses = slices.Concat(order[accepted:accepted+1], order[:accepted], order[accepted+1:])
}
