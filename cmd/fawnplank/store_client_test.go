package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"fawnplank/internal/store/kv"
)

// TestStoreClient_Statuses checks that a status other than 200 becomes an error with the status and the message, that
// 404 from the leader means a missing key, and that 409 becomes a ConflictError.
func TestStoreClient_Statuses(t *testing.T) {
	status, body := http.StatusOK, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		send(w, body)
	}))
	t.Cleanup(server.Close)
	client := storeClient{address: strings.TrimPrefix(server.URL, "http://")}

	status, body = http.StatusServiceUnavailable, `{"error":"no leader"}`
	_, err := client.do(t.Context(), storeCall{method: http.MethodGet, path: "/v1/status"})
	if err == nil || err.Error() != "503 Service Unavailable: no leader" {
		t.Errorf("%v", err)
	}
	if _, _, err := client.ReadFromLeader("k"); err == nil {
		t.Error("reading a key succeeded without a leader")
	}
	status, body = http.StatusNotFound, "x"
	_, err = client.do(t.Context(), storeCall{method: http.MethodGet, path: "/v1/kv/k"})
	if err == nil || err.Error() != "404 Not Found" {
		t.Errorf("%v", err)
	}
	if _, ok, err := client.ReadFromLeader("k"); ok || err != nil {
		t.Errorf("missing key: %t, %v", ok, err)
	}
	status, body = http.StatusConflict, `{"error":"changed meanwhile"}`
	var conflict kv.ConflictError
	if err := client.Edit(nil); !errors.As(err, &conflict) {
		t.Errorf("%v", err)
	}
}

// TestStoreCommands_EscapeKeys guards against writes to the wrong key: "store set" and the reads of other commands put
// keys into the path unescaped, so that the part of a key after ? or # was lost.
func TestStoreCommands_EscapeKeys(t *testing.T) {
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.RequestURI)
		send(w, "[]")
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for _, args := range [][]string{
		{"set", "q/a?b", "1"}, {"get", "q/a#b"}, {"delete", "q/a%41b"}, {"keys", "q/a&prefix=b"}, {"remove", "x?y"},
	} {
		if out, err := runProgram(t, append([]string{"store", "--at", address}, args...)...); err != nil {
			t.Errorf("%v: %v %s", args, err, out)
		}
	}
	client := storeClient{address: address}
	client.ReadLocal("q/a?b")
	_, _, _ = client.ReadFromLeader("q/a?b") // fails, since the answer is not a valid entry
	client.ReadLocalPrefix("q/a#b")
	want := []string{
		"PUT /v1/kv/q%2Fa%3Fb", "GET /v1/kv/q%2Fa%23b", "DELETE /v1/kv/q%2Fa%2541b", "GET /v1/kv?prefix=q%2Fa%26prefix%3Db",
		"DELETE /v1/peers/x%3Fy", "GET /v1/kv/q%2Fa%3Fb?stale=1", "GET /v1/kv/q%2Fa%3Fb", "GET /v1/kv?prefix=q%2Fa%23b",
	}
	if !slices.Equal(calls, want) {
		t.Errorf("called\n%s, want\n%s", strings.Join(calls, "\n"), strings.Join(want, "\n"))
	}
}
