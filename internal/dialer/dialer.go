package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// Reachable tells whether the host has a way to an address: whether a UDP socket, which sends nothing, can be bound
// to it.
func Reachable(a netip.Addr) bool {
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, 9)))
	if err == nil {
		c.Close()
	}
	return err == nil
}

// Dial connects to one of the addresses, tried in their order: the next when one fails, or has taken a gap. It gives
// the connection that came up first and the number of its address; others are closed before anything is written on
// them. All together it takes no longer than within.
func Dial(order []netip.AddrPort, within time.Duration) (*net.TCPConn, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	type end struct {
		c   net.Conn
		n   int
		err error
	}
	ends := make(chan end, len(order))
	try := func(n int) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", order[n].String())
		ends <- end{c, n, err}
	}
	var failed []error
	next, out := 0, 0
	gap := time.NewTimer(0)
	defer gap.Stop()
	for {
		select {
		case <-gap.C:
		case e := <-ends:
			out--
			if e.err == nil {
				cancel()
				go func(rest int) { // each ends at once: its context is over
					for range rest {
						if late := <-ends; late.c != nil {
							late.c.Close()
						}
					}
				}(out)
				return e.c.(*net.TCPConn), e.n, nil
			}
			failed = append(failed, e.err)
		}
		if next < len(order) {
			go try(next)
			next, out = next+1, out+1
			gap.Reset(Gap(len(order), within))
		} else if out == 0 {
			return nil, 0, errors.Join(failed...)
		}
	}
}
