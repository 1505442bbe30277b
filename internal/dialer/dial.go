package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	// recommendedConnectionAttemptDelay is the Connection Attempt Delay recommended by RFC 8305, section 5.
	recommendedConnectionAttemptDelay = 250 * time.Millisecond
	// minConnectionAttemptDelay is the lower bound in RFC 8305.
	minConnectionAttemptDelay = 10 * time.Millisecond
)

// ErrNoAddress is returned by Dial if it is called without addresses.
var ErrNoAddress = errors.New("no address to connect to")

// connectionAttemptDelay returns the delay between the dial to one address and the parallel dial to the next. timeout
// is the total timeout for all addresses. The delay is at most the recommended one, and shorter if otherwise too
// little time would remain for the last address.
func connectionAttemptDelay(addresses int, timeout time.Duration) time.Duration {
	equalShare := timeout / time.Duration(addresses+1)
	return min(recommendedConnectionAttemptDelay, max(equalShare, minConnectionAttemptDelay))
}

// Dial connects to one of the addresses. It dials them in order, and starts the next dial when one fails or has not
// connected after a delay. It returns the first connection that is established and the index of its address; other
// connections are closed before anything is written to them. If all dials fail, Dial returns their errors, joined;
// without addresses it returns ErrNoAddress. The whole call takes no longer than the timeout, which must be above 0.
func Dial(
	ctx context.Context, addresses []netip.AddrPort, timeout time.Duration,
) (conn *net.TCPConn, index int, err error) {
	if len(addresses) == 0 {
		return nil, 0, ErrNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := newRace(addresses)
	var errs []error
	delay := time.NewTimer(0)
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
		case result := <-r.results:
			r.ended++
			if result.err == nil {
				cancel() // before closeLateConnections, which waits for the other dials to end
				go r.closeLateConnections()
				return result.conn.(*net.TCPConn), result.index, nil
			}
			errs = append(errs, result.err)
		}
		switch {
		case r.started < len(addresses):
			r.startNext(ctx)
			delay.Reset(connectionAttemptDelay(len(addresses), timeout))
		case r.started == r.ended:
			return nil, 0, errors.Join(errs...)
		}
	}
}

// race is a set of parallel dials, of which the first that connects is used. Only one goroutine uses a race; the dials
// only send to results.
type race struct {
	addresses []netip.AddrPort
	results   chan dialResult
	started   int
	ended     int // dials whose results have been received
}

// dialResult is the result of the dial to the address with the given index.
type dialResult struct {
	conn  net.Conn
	index int
	err   error
}

func newRace(addresses []netip.AddrPort) *race {
	return &race{
		addresses: addresses,
		results:   make(chan dialResult, len(addresses)), // buffered, so that no dial blocks on sending its result
	}
}

// startNext starts a dial to the next address.
func (r *race) startNext(ctx context.Context) {
	index := r.started
	r.started++
	go func() {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", r.addresses[index].String())
		r.results <- dialResult{conn: conn, index: index, err: err}
	}()
}

// closeLateConnections receives the outstanding results and closes the connections in them. No goroutine waits for it.
// It returns when the canceled dials have ended, which they do at once.
func (r *race) closeLateConnections() {
	for range r.started - r.ended {
		if late := <-r.results; late.conn != nil {
			_ = late.conn.Close() // nothing was written to it
		}
	}
}
