package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// discardPort is the port of the discard service. Nothing is sent to it.
const discardPort = 9

// Reachable reports whether the host has a route to an address. It checks whether a UDP socket can be
// connected to the address, which sends nothing.
func Reachable(address netip.Addr) bool {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, discardPort)))
	if err != nil {
		return false
	}
	_ = conn.Close() // the connect was all that was needed
	return true
}

// dialResult is the result of a dial to the address with that index.
type dialResult struct {
	conn  net.Conn
	index int
	err   error
}

// Dial connects to one of the addresses. It tries them in order, and starts with the next one when one fails
// or is not connected after a delay. It returns the first connection that is established and the index of its
// address; other connections are closed before anything is written to them. The whole call takes no longer
// than the timeout, which must be above 0. addresses must not be empty.
func Dial(
	ctx context.Context, addresses []netip.AddrPort, timeout time.Duration,
) (conn *net.TCPConn, index int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan dialResult, len(addresses)) // buffered, so that no dial blocks on sending its result
	started := 0
	ended := 0
	var errs []error
	delay := time.NewTimer(0)
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
		case result := <-results:
			ended++
			if result.err == nil {
				cancel()
				go closeLate(results, started-ended)
				return result.conn.(*net.TCPConn), result.index, nil
			}
			errs = append(errs, result.err)
		}
		switch {
		case started < len(addresses):
			go dialOne(ctx, addresses[started], started, results)
			started++
			delay.Reset(attemptDelay(len(addresses), timeout))
		case started == ended:
			return nil, 0, errors.Join(errs...)
		}
	}
}

func dialOne(ctx context.Context, address netip.AddrPort, index int, results chan<- dialResult) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	results <- dialResult{conn: conn, index: index, err: err}
}

// closeLate receives the given number of outstanding results and closes the connections in them. The results
// arrive at once, since the context of their dials is canceled.
func closeLate(results <-chan dialResult, count int) {
	for range count {
		if late := <-results; late.conn != nil {
			_ = late.conn.Close() // nothing was written to it
		}
	}
}
