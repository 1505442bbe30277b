package main

import (
	"net"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// A new process listens on the clients' address while the old one still does; once the old one has closed its
// listener, the new one accepts every connection.
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
	defer hangUp(second)
	hangUp(first)
	go func() {
		for range 20 {
			if conn, err := tryDial(t, settings.Listen); err == nil {
				hangUp(conn)
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
		hangUp(conn)
	}
}
