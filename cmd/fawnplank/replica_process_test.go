package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// replicaProcess is a process that runs a replica of the store.
type replicaProcess struct {
	id, raftAddress, apiAddress, folder string
	args                                []string // command and flags, without the flags of the store
	command                             *exec.Cmd
	logFile                             string
}

// newReplicas returns the processes of replicas, not yet started. They are killed at the end of the test, and the ends
// of their logs are printed if the test failed.
func newReplicas(t *testing.T, ids ...string) []*replicaProcess {
	t.Helper()
	folder := t.TempDir()
	var replicas []*replicaProcess
	for _, id := range ids {
		replicas = append(replicas, &replicaProcess{
			id:          id,
			raftAddress: freeAddress(t),
			apiAddress:  freeAddress(t),
			folder:      filepath.Join(folder, id),
			logFile:     filepath.Join(folder, id+".log"),
			args:        []string{"store", "run"},
		})
	}
	t.Cleanup(func() {
		for _, r := range replicas {
			r.kill()
		}
		if !t.Failed() {
			return
		}
		for _, r := range replicas {
			text, _ := os.ReadFile(r.logFile) // empty for a replica that was never started
			t.Logf("%s:\n%s", r.id, text[max(len(text)-1500, 0):])
		}
	})
	return replicas
}

func startReplicas(t *testing.T, replicas []*replicaProcess) {
	t.Helper()
	for _, r := range replicas {
		r.start(t, replicas)
	}
}

func (r *replicaProcess) peerAddress() string { return r.id + "@" + r.raftAddress + "@" + r.apiAddress }

func (r *replicaProcess) start(t *testing.T, all []*replicaProcess) {
	t.Helper()
	var peerAddresses []string
	for _, peer := range all {
		peerAddresses = append(peerAddresses, peer.peerAddress())
	}
	logOutput, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer closeIgnoringError(logOutput) // the process has its own descriptor
	flags := []string{"--store", r.folder, "--me", r.peerAddress(), "--peers", strings.Join(peerAddresses, ",")}
	r.command = programCommand(t, slices.Concat(r.args, flags)...)
	r.command.Stdout, r.command.Stderr = logOutput, logOutput
	if err := r.command.Start(); err != nil {
		t.Fatal(err)
	}
}

func (r *replicaProcess) kill() {
	if r.command != nil {
		kill(r.command)
		_ = r.command.Wait() // reports the kill
		r.command = nil
	}
}

// call sends one request to the replica's API.
func (r *replicaProcess) call(t *testing.T, method, path, body string) (string, error) {
	t.Helper()
	text, err := storeClient{address: r.apiAddress}.do(t.Context(),
		storeCall{method: method, path: path, body: []byte(body)})
	return string(text), err
}

// put writes a value to a key.
func (r *replicaProcess) put(t *testing.T, key, value string) error {
	t.Helper()
	_, err := r.call(t, http.MethodPut, "/v1/kv/"+key, value)
	return err
}

// replicaStatus is the part of the API's status answer that the tests use.
type replicaStatus struct {
	State, Leader, Print string
	At                   int
}

func (r *replicaProcess) status(t *testing.T) (status replicaStatus, err error) {
	t.Helper()
	text, err := r.call(t, http.MethodGet, "/v1/status", "")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal([]byte(text), &status)
}

// readStale reads a number from the replica's own state, which may be behind the leader's.
func (r *replicaProcess) readStale(t *testing.T, key string) int64 {
	t.Helper()
	text, err := r.call(t, http.MethodGet, "/v1/kv/"+key+"?stale=1", "")
	var entry struct{ Value int64 }
	if err = errors.Join(err, json.Unmarshal([]byte(text), &entry)); err != nil {
		t.Fatal(text, err)
	}
	return entry.Value
}

// sameState reports whether all replicas hold the same state.
func sameState(t *testing.T, replicas []*replicaProcess) bool {
	t.Helper()
	var first replicaStatus
	for n, r := range replicas {
		status, err := r.status(t)
		if err != nil || status.Print == "" {
			return false
		}
		if n == 0 {
			first = status
		}
		if status.Print != first.Print || status.At != first.At {
			return false
		}
	}
	return true
}
