package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress returns an address that nothing listens on. It is a random loopback address, because other
// connections may take a port of 127.0.0.1 between the moment it is found free and the moment it is used.
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
