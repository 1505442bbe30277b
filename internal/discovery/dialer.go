package discovery

import (
	"context"
	"net"
	"time"
)

// dialTimeoutKey is the key under which a call's context says how long a dial for it may take. Of all that a
// call's context says, the transport passes on to the dialer its values alone.
type dialTimeoutKey struct{}

// withDialTimeout bounds the dial that a call may need.
func withDialTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, timeout)
}

// dialIPv4 dials over IPv4 alone: a name such as localhost may stand for ::1 too, and the fleet's hosts have
// IPv4 only.
//
// It ends the dial with the timeout of the call that wants the connection. This guards against descriptors
// without end in an outage: the transport dials on, for calls to come, after the call was given up, until the
// system gives up too, which takes minutes.
func dialIPv4(ctx context.Context, _, address string) (net.Conn, error) {
	if timeout, ok := ctx.Value(dialTimeoutKey{}).(time.Duration); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}
