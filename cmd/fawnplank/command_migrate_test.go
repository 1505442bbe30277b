package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// A file of the old shape is carried over to the new one, and a gateway runs on it: without health checks,
// with a limit on the tenant's concurrency, and with rejections that give no Retry-After.
func TestMigrate_FileServes(t *testing.T) {
	attempts := make(chan net.Conn, 10)
	arrived := make(chan bool, 10)
	backend := testutil.ServeCommands(t, func(conn net.Conn) {
		attempts <- conn
		arrived <- true
	})
	address := freeAddress(t)
	serveMigrated(t, address, discoveryOf(t, backend))

	client, attempt := requestUntilSent(t, address, attempts)
	beyond := dial(t, address)
	send(beyond, request("99", requestFields))
	if line, err := bufio.NewReader(beyond).ReadString('\n'); line != "-BUSY\r\n" {
		t.Errorf("beyond the limit: %q, %v", line, err)
	}
	send(attempt, successResponse)
	if line, err := client.ReadString('\n'); line != "$2\r\n" {
		t.Errorf("%q, %v", line, err)
	}
	time.Sleep(100 * time.Millisecond)
	if len(arrived) != 1 {
		t.Errorf("%d commands reached the backend", len(arrived))
	}
}

// discoveryOf is the address of a discovery service that lists a backend and reports no change.
func discoveryOf(t *testing.T, backend net.Addr) string {
	t.Helper()
	var calls atomic.Int64
	return serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			<-r.Context().Done()
		}
		sendf(w, `{"index":9,"snapshot":true,"endpoints":[{"name":"s-9","address":%q,"zone":"a","type":"m2",
			"group":1,"status":"up","weight":0.7,"since_ms":0}]}`, backend)
	})
}

// serveMigrated starts a gateway on a file of the old shape that was carried over.
func serveMigrated(t *testing.T, address, discovery string) {
	t.Helper()
	folder := t.TempDir()
	old := filepath.Join(folder, "old.json")
	shape := filepath.Join(folder, "shape.json")
	migrated := filepath.Join(folder, "new.json")
	text := fmt.Sprintf(configuration, address, discovery, "127.0.0.1:3")
	text = strings.Replace(text, `"send-cap":3`,
		`"send-cap":3,"probes":true,"retry-after":true,"max-retry-after-ms":900`, 1)
	writeFile(t, old, text)
	writeFile(t, shape, `{"permissions":{"retry-after":false},"weights":"rough",
		"tariffs":[{"name":"team","quota-rate":0,"peak-units":0,"parallel":1}]}`)
	out, err := runProgram(t, "migrate", "-c", old, "--shape", shape, "-o", migrated)
	if err != nil || !strings.Contains(out, "settings.permissions.retry-after") ||
		!strings.Contains(out, "known: 1 backends") {
		t.Fatalf("%v, %s", err, out)
	}
	startServing(t, migrated)
}

// requestUntilSent sends requests, each on a connection of its own, until the list has come and a backend
// receives one.
func requestUntilSent(t *testing.T, address string, attempts <-chan net.Conn) (*bufio.Reader, net.Conn) {
	t.Helper()
	for id := 1; id <= 50; id++ {
		conn := dial(t, address)
		send(conn, request(fmt.Sprintf("%02d", id), requestFields))
		select {
		case attempt := <-attempts:
			return bufio.NewReader(conn), attempt
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatal("nothing sent to the backend that discovery lists")
	return nil, nil
}
