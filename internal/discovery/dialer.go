package discovery

import (
	"context"
	"net"
	"time"
)

// dialTimeoutKey is the context key for how long a dial for a call may take. A context value is used because
// values are all that the transport passes from a call's context to the dialer.
type dialTimeoutKey struct{}

// withDialTimeout bounds the dial that a call may need.
func withDialTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, timeout)
}

// dialIPv4 dials over IPv4 only: a name such as localhost may also resolve to ::1, and the fleet's hosts have
// only IPv4.
//
// It limits the dial to the timeout of the call that needs the connection. Without that limit, descriptors
// would pile up without end in an outage: after a call is given up, the transport continues to dial, for
// future calls, until the system gives up too, which takes minutes.
func dialIPv4(ctx context.Context, _, address string) (net.Conn, error) {
	if timeout, ok := ctx.Value(dialTimeoutKey{}).(time.Duration); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}
