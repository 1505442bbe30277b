package discovery

import (
	"context"
	"net"
	"time"
)

// dialTimeoutKey is the context key for the timeout of a dial for a call. A context value is used because values
// are all that the transport passes from a call's context to the dialer.
type dialTimeoutKey struct{}

// withDialTimeout limits the duration of a dial that a call may need.
func withDialTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, timeout)
}

// dialIPv4 dials over IPv4 only: a name such as localhost may also resolve to ::1, and the hosts of a deployment
// have only IPv4.
//
// The dial ends with the dial timeout of the call that needs the connection. Without this limit, the number of open
// file descriptors would grow without bound during an outage: after a call has timed out, the transport continues
// to dial, for future calls, until the operating system gives up, which takes minutes.
func dialIPv4(ctx context.Context, _, address string) (net.Conn, error) {
	if timeout, ok := ctx.Value(dialTimeoutKey{}).(time.Duration); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}
