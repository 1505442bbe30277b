package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"fawnplank/internal/config"
)

// listen returns the listener that the process inherited or, if there is none, opens one with SO_REUSEPORT. During an
// upgrade the old and the new process can then both listen on the clients' address, and the kernel distributes new
// connections between them.
func listen(ctx context.Context, configuration *config.Config) (net.Listener, error) {
	if configuration.ListenerFD >= 0 {
		return inheritListener(configuration.ListenerFD)
	}
	listenConfig := net.ListenConfig{Control: setReusePort}
	return listenConfig.Listen(ctx, "tcp4", configuration.Listen)
}

// inheritListener returns the listener that the process inherited as a file descriptor. It closes the descriptor.
func inheritListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer func() {
		_ = file.Close() // the listener uses a duplicate of the descriptor
	}()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("listener from file descriptor %d (GW_SOCKET_FD or SOCKET_FD): %w", fd, err)
	}
	return listener, nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}
