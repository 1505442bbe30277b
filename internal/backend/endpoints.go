package backend

import (
	"errors"
	"fmt"
	"net/netip"

	"fawnplank/internal/dialer"
	"fawnplank/policy"
)

// errNoAddress: discovery has not given the backend an address, or the backend is gone.
var errNoAddress = errors.New("no address known")

// endpoint is where one backend listens, with its idle connections. A backend that moves gets a new endpoint.
type endpoint struct {
	// key tells an endpoint from the one before it. For a backend with one address it is that address, and it is what
	// is dialed. For a backend with several it is all of them as one text, which no dial accepts: the addresses are
	// dialed instead.
	key string
	// addresses lists the addresses of a backend that has several, in the order to try them. The address that
	// last accepted a connection comes first, so that an address that hangs costs its part of the connect
	// timeout only once and not for each connection.
	addresses []netip.AddrPort
	idle      []*conn // the most recently used is last
	removed   bool    // its backend has moved or is gone
}

// SetAddress sets the address where a backend listens. Idle connections to another address are closed.
func (p *Pool) SetAddress(backend policy.BackendID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{key: address})
}

// SetAddresses sets the addresses of a backend that listens at several. It remains one backend: a connection
// goes to the first address that accepts it. Idle connections to other addresses are closed.
func (p *Pool) SetAddresses(backend policy.BackendID, addresses []netip.AddrPort) {
	order := dialer.OrderAddresses(addresses, dialer.HasRoute) // looks up the host's routes: not with the lock held
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{key: fmt.Sprint(addresses), addresses: order})
}

// RemoveBackend removes a backend that is gone. Attempts already sent to it continue.
func (p *Pool) RemoveBackend(backend policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(backend)
}

// replace replaces a backend's endpoint, unless the old one has the same key or the pool is closed. The
// caller holds the lock.
func (p *Pool) replace(backend policy.BackendID, replacement *endpoint) {
	if p.closed {
		return
	}
	if old := p.endpoints[backend]; old != nil && old.key == replacement.key {
		return
	}
	p.remove(backend)
	p.endpoints[backend] = replacement
}

// remove deletes a backend's endpoint and closes its idle connections. The caller holds the lock.
func (p *Pool) remove(backend policy.BackendID) {
	e := p.endpoints[backend]
	if e == nil {
		return
	}
	e.removed = true
	for len(e.idle) > 0 {
		e.idle[0].close()
	}
	delete(p.endpoints, backend)
}
