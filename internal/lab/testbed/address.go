package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress returns an address on which nothing listens. Its host is a random loopback address, because on 127.0.0.1
// another connection could take the port before the caller uses it.
func FreeAddress(ctx context.Context) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", host)
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}
