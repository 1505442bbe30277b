package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// Guards against an effect that happens twice at an upgrade: a client left while its request was at a backend, and sent
// the same id once more to the other process, which did not know it.
func TestUpgrade_IDThatRanAtOldProcessDoesNotRunAgain(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var runs atomic.Int32
	backend := testutil.ServeCommands(t, func(conn net.Conn) {
		runs.Add(1)
		time.Sleep(300 * time.Millisecond)
		send(conn, successResponse)
	})
	address := freeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(configuration, address, "127.0.0.1:2", backend)
	writeFile(t, file, strings.Replace(text, `"effect":"read_like"`, `"effect":"non_idempotent"`, 1))
	former := startServing(t, file)
	first := dial(t, address)
	send(first, request("one", requestFields))
	waitUntil(t, func() bool { return runs.Load() == 1 })
	closeIgnoringError(first)
	startServing(t, file)
	sendSignal(t, former, syscall.SIGTERM)
	time.Sleep(lateConnectionGrace + 200*time.Millisecond) // the former process accepts no more connections
	again := dial(t, address)
	setDeadline(again, connectionTimeout)
	reader := bufio.NewReader(again)
	send(again, request("one", requestFields))
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-ERR id") || err != nil {
		t.Errorf("the same id is answered %q, %v", line, err)
	}
	send(again, request("two", requestFields))
	if line, err := reader.ReadString('\n'); line != "$2\r\n" || err != nil {
		t.Errorf("another id is answered %q, %v", line, err)
	}
	if got := runs.Load(); got != 2 {
		t.Errorf("%d runs of two ids", got)
	}
}
