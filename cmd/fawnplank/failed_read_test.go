package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestBillingResume_FailsOnReplicaError guards against usage that is billed twice: when a replica answered 503, the
// command treated it as a store without accounts, dropped no window, and reported success.
func TestBillingResume_FailsOnReplicaError(t *testing.T) {
	for name, fails := range map[string]func(r *http.Request) bool{
		"list of keys": func(r *http.Request) bool { return r.URL.Query().Has("prefix") },
		"one account":  func(r *http.Request) bool { return r.URL.Query().Has("stale") },
	} {
		t.Run(name, func(t *testing.T) {
			edits := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case fails(r):
					w.WriteHeader(http.StatusServiceUnavailable)
					send(w, `{"error":"no leader"}`)
				case r.URL.Query().Has("prefix"):
					send(w, `["billing/account/0000000000000005"]`)
				case r.Method == http.MethodGet:
					w.WriteHeader(http.StatusNotFound)
				default:
					edits++
					send(w, `{"index":1}`)
				}
			}))
			t.Cleanup(server.Close)
			address := strings.TrimPrefix(server.URL, "http://")
			out, err := runProgram(t, "billing", "resume", "--store", address, "--after", "8",
				"--drop-before", "2026-04-01T12:00:00Z")
			if err == nil || !strings.Contains(out, "503") {
				t.Errorf("%v: %s", err, out)
			}
			if edits > 0 {
				t.Errorf("%d edits after a failed read", edits)
			}
		})
	}
}

// TestDNSList_FailsWithoutReplica guards against the output of an outdated list: when no replica listened at the
// address given with --store, the command printed the zone file's list and exited with status 0.
func TestDNSList_FailsWithoutReplica(t *testing.T) {
	z := newZoneFiles(t, true)
	out, err := runProgram(t, "dns", "list", "--operator", z.operator, "--store", "127.0.0.1:1")
	if err == nil || !strings.Contains(out, "no replica listens at 127.0.0.1:1") {
		t.Errorf("%v: %s", err, out)
	}
	if strings.Contains(out, "backends in the list") {
		t.Errorf("a list was printed without the store: %s", out)
	}
}
