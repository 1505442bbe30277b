package backend

import (
	"errors"
	"fmt"
	"net/netip"

	"fawnplank/internal/dialer"
	"fawnplank/policy"
)

// errNoAddress means that discovery has not announced an address of the backend, or that the backend is gone.
var errNoAddress = errors.New("the backend has no known address")

// endpoint holds the addresses of one backend and the idle connections to it. A backend whose addresses change gets a
// new endpoint.
type endpoint struct {
	// key shows whether a backend's addresses have changed. For a backend with one address, the key is that address,
	// and it is dialed. For a backend with several addresses, the key is a text with all of them, which cannot be
	// dialed: addresses is used instead.
	key string
	// addresses lists the addresses of a backend that has several, in the order in which they are tried. The address
	// that last accepted a connection comes first, so that an address that does not answer uses its part of the
	// connect timeout only once and not for each connection.
	addresses []netip.AddrPort
	idle      []*conn // the most recently used connection is last
	removed   bool    // the backend has other addresses now, or is gone
}

// SetAddress sets the only address of a backend. Idle connections to other addresses are closed.
func (p *Pool) SetAddress(backend policy.BackendID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaceEndpoint(backend, &endpoint{key: address})
}

// SetAddresses sets the addresses of a backend that listens at several. They are still one backend: each connection
// is made to the first address that accepts it. If the addresses change, the backend's idle connections are closed.
func (p *Pool) SetAddresses(backend policy.BackendID, addresses []netip.AddrPort) {
	// This looks up the host's routes, so the lock is not held yet.
	order := dialer.OrderAddresses(addresses, dialer.HasRoute)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaceEndpoint(backend, &endpoint{key: fmt.Sprint(addresses), addresses: order})
}

// ResetConnections gives up the connections to a backend whose process was replaced by another one at the same address:
// it closes the idle ones, and no attempt is written to one that is being opened. Attempts already sent continue.
func (p *Pool) ResetConnections(backend policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	former := p.endpoints[backend]
	if former == nil {
		return
	}
	p.removeEndpoint(backend)
	p.endpoints[backend] = &endpoint{key: former.key, addresses: former.addresses}
}

// RemoveBackend removes a backend that is gone and closes its idle connections. Attempts already sent to it continue.
func (p *Pool) RemoveBackend(backend policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeEndpoint(backend)
}

// replaceEndpoint replaces a backend's endpoint, unless the old one has the same key or the pool is closed. The
// caller holds the lock.
func (p *Pool) replaceEndpoint(backend policy.BackendID, replacement *endpoint) {
	if p.closed {
		return
	}
	if old := p.endpoints[backend]; old != nil && old.key == replacement.key {
		return
	}
	p.removeEndpoint(backend)
	p.endpoints[backend] = replacement
}

// removeEndpoint deletes a backend's endpoint and closes its idle connections. The caller holds the lock.
func (p *Pool) removeEndpoint(backend policy.BackendID) {
	old := p.endpoints[backend]
	if old == nil {
		return
	}
	old.removed = true
	for len(old.idle) > 0 {
		old.idle[0].close()
	}
	delete(p.endpoints, backend)
}
