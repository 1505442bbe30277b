package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fawnplank/internal/store/kv"
)

// A status other than 200 is an error with status and message; 404 at the leader is a key that is not there,
// and 409 is a conflict.
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
		t.Error("a leader that is not there reads a key")
	}
	status, body = http.StatusNotFound, "x"
	_, err = client.do(t.Context(), storeCall{method: http.MethodGet, path: "/v1/kv/k"})
	if err == nil || err.Error() != "404 Not Found" {
		t.Errorf("%v", err)
	}
	if _, ok, err := client.ReadFromLeader("k"); ok || err != nil {
		t.Errorf("a key that is not there: %t, %v", ok, err)
	}
	status, body = http.StatusConflict, `{"error":"changed meanwhile"}`
	var conflict kv.ConflictError
	if err := client.Edit(nil); !errors.As(err, &conflict) {
		t.Errorf("%v", err)
	}
}
