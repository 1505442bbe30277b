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

// TestMigrate_MigratedFileServes migrates a configuration file of the old format, and runs a gateway with the result:
// without health checks, with a concurrency limit for the tenant, and without Retry-After in rejections.
func TestMigrate_MigratedFileServes(t *testing.T) {
	attempts := make(chan net.Conn, 10)
	arrived := make(chan bool, 10)
	backend := testutil.ServeCommands(t, func(conn net.Conn) {
		attempts <- conn
		arrived <- true
	})
	address := freeAddress(t)
	serveMigrated(t, address, discoveryWithBackend(t, backend))

	client, attempt := sendUntilForwarded(t, address, attempts)
	overLimit := dial(t, address)
	send(overLimit, request("99", requestFields))
	if line, err := bufio.NewReader(overLimit).ReadString('\n'); line != "-BUSY\r\n" {
		t.Errorf("request above the concurrency limit: %q, %v", line, err)
	}
	send(attempt, successResponse)
	if line, err := client.ReadString('\n'); line != "$2\r\n" {
		t.Errorf("request within the limit: %q, %v", line, err)
	}
	time.Sleep(100 * time.Millisecond)
	if len(arrived) != 1 {
		t.Errorf("%d commands reached the backend, want 1", len(arrived))
	}
}

// discoveryWithBackend starts a discovery service that lists one backend and never reports a change, and returns its
// address.
func discoveryWithBackend(t *testing.T, backend net.Addr) string {
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

// serveMigrated migrates a configuration file of the old format and starts a gateway with the result.
func serveMigrated(t *testing.T, address, discovery string) {
	t.Helper()
	folder := t.TempDir()
	oldFile := filepath.Join(folder, "old.json")
	shapeFile := filepath.Join(folder, "shape.json")
	migratedFile := filepath.Join(folder, "new.json")
	text := fmt.Sprintf(configuration, address, discovery, "127.0.0.1:3")
	text = strings.Replace(text, `"send-cap":3`,
		`"send-cap":3,"probes":true,"retry-after":true,"max-retry-after-ms":900`, 1)
	writeFile(t, oldFile, text)
	writeFile(t, shapeFile, `{"permissions":{"retry-after":false},"weights":"rough",
		"tariffs":[{"name":"team","quota-rate":0,"peak-units":0,"parallel":1}]}`)
	out, err := runProgram(t, "migrate", "-c", oldFile, "--shape", shapeFile, "-o", migratedFile)
	if err != nil || !strings.Contains(out, "settings.permissions.retry-after") ||
		!strings.Contains(out, "known: 1 backends") {
		t.Fatalf("%v, %s", err, out)
	}
	startServing(t, migratedFile)
}

// sendUntilForwarded sends requests, each on its own connection, until the gateway has received the endpoint list and
// the backend receives a request.
func sendUntilForwarded(t *testing.T, address string, attempts <-chan net.Conn) (*bufio.Reader, net.Conn) {
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
	t.Fatal("no request was sent to the backend that discovery lists")
	return nil, nil
}
