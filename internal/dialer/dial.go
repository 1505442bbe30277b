package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// discardPort is the port of the discard service. Nothing is sent there.
const discardPort = 9

// Reachable reports whether the host has a route to an address: whether a UDP socket, which sends nothing,
// can be connected to it.
func Reachable(address netip.Addr) bool {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, discardPort)))
	if err != nil {
		return false
	}
	_ = conn.Close() // it was only to come up
	return true
}

// dialResult is the end of a dial to the address of that index.
type dialResult struct {
	conn  net.Conn
	index int
	err   error
}

// Dial connects to one of the addresses, tried in their order: the next when one fails, or has not come up
// for a while. It returns the connection that came up first and the index of its address; others are closed
// before anything is written on them. All together it takes no longer than the timeout.
func Dial(ctx context.Context, addresses []netip.AddrPort, timeout time.Duration) (*net.TCPConn, int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan dialResult, len(addresses)) // no dial waits for its result to be received
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

// closeLate closes the connections among so many results that are yet to come. Each comes at once: its dial's
// context is canceled.
func closeLate(results <-chan dialResult, count int) {
	for range count {
		if late := <-results; late.conn != nil {
			_ = late.conn.Close() // nothing was written on it
		}
	}
}
