package main

import (
	"net"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// TestListen_TwoProcessesShareTheAddress checks that a new process can listen on the client address while the old one
// still does, and that it accepts every connection once the old one has closed its listener.
func TestListen_TwoProcessesShareTheAddress(t *testing.T) {
	settings := &config.Config{Listen: "127.0.0.1:0", ListenerFD: -1}
	first, err := listen(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	settings.Listen = first.Addr().String()
	second, err := listen(t.Context(), settings)
	if err != nil {
		t.Fatalf("the second listener: %v", err)
	}
	defer closeIgnoringError(second)
	closeIgnoringError(first)
	go func() {
		for range 20 {
			if conn, err := tryDial(t, settings.Listen); err == nil {
				closeIgnoringError(conn)
			}
		}
	}()
	if err := second.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for n := range 20 {
		conn, err := second.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
		closeIgnoringError(conn)
	}
}
