package main

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestReload checks that SIGHUP with an invalid file logs the invalid key and changes nothing, that SIGHUP with a valid
// file applies it, and that a SIGTERM between two SIGHUPs leads to a regular shutdown.
func TestReload(t *testing.T) {
	calls := make(chan int, 100)
	var addresses [2]string
	for n := range addresses {
		addresses[n] = reportingDiscovery(t, calls, n)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	text := func(n int) string {
		return fmt.Sprintf(configuration, "127.0.0.1:0", addresses[n], "127.0.0.1:3")
	}
	writeFile(t, file, text(0))
	process := programCommand(t, "serve", "-c", file)
	lines := bufio.NewScanner(startWithLog(t, process))
	waitLogged(t, lines, "listening")
	waitCalled(t, calls, 0)
	writeFile(t, file, strings.Replace(text(1), `"me":0`, `"me":"x"`, 1))
	sendSignal(t, process, syscall.SIGHUP)
	waitLogged(t, lines, "settings.me")
	writeFile(t, file, text(1))
	sendSignal(t, process, syscall.SIGHUP)
	waitCalled(t, calls, 1)
	waitLogged(t, lines, "configuration reloaded")
	sendSignal(t, process, syscall.SIGHUP)
	sendSignal(t, process, syscall.SIGTERM)
	sendSignal(t, process, syscall.SIGHUP)
	waitLogged(t, lines, "stopped")
	if err := process.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// reportingDiscovery starts a discovery service that sends its number to calls for each call and never answers, and
// returns its address.
func reportingDiscovery(t *testing.T, calls chan<- int, number int) string {
	t.Helper()
	return serveDiscovery(t, func(_ http.ResponseWriter, r *http.Request) {
		calls <- number
		<-r.Context().Done()
	})
}

func waitCalled(t *testing.T, calls <-chan int, want int) {
	t.Helper()
	select {
	case number := <-calls:
		if number != want {
			t.Errorf("discovery %d was called, want %d", number, want)
		}
	case <-time.After(900 * time.Millisecond): // the watch of the old address repeats its call after a second
		t.Fatalf("discovery %d was not called", want)
	}
}

func waitLogged(t *testing.T, lines *bufio.Scanner, want string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), want) {
			return
		}
	}
	t.Fatalf("not logged: %s", want)
}
