package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"fawnplank/internal/store/kv"
)

// validatePlanHasRate rejects plans without a rate.
func validatePlanHasRate(key string, value json.RawMessage) error {
	if strings.HasPrefix(key, "plans/") && !bytes.Contains(value, []byte("rate")) {
		return errors.New("a plan without a rate")
	}
	return nil
}

func TestAPI_AnyReplicaServesWritesAndReads(t *testing.T) {
	c := newCluster(t, validatePlanHasRate)
	for n, writer := range c.peers {
		c.writeUntilCommitted(writer.ID, "k"+writer.ID, fmt.Sprint(n))
		for _, reader := range c.peers { // a write is visible on every replica as soon as it is answered
			status, text := c.callAPI(reader.ID, "GET", "/v1/kv/k"+writer.ID, "")
			if status != 200 || !strings.Contains(text, fmt.Sprintf(`"value":%d`, n)) {
				t.Errorf("written through %s, read through %s: status %d, body %s", writer.ID, reader.ID, status, text)
			}
		}
	}
	for _, test := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{method: "GET", path: "/v1/kv/none", status: 404, want: "no key none"},
		{method: "PUT", path: "/v1/kv/k", body: "{", status: 400, want: "no JSON"},
		{method: "PUT", path: "/v1/kv/k", status: 400, want: "no value"},
		{method: "PUT", path: "/v1/kv/plans/x", body: `{"burst":1}`, status: 422, want: "a plan without a rate"},
		{method: "PUT", path: "/v1/kv/k?if=x", body: "1", status: 400, want: "no index"},
		{method: "PUT", path: "/v1/kv/ka?if=0", body: "1", status: 409, want: "changed meanwhile"},
		{method: "POST", path: "/v1/edits", body: "[", status: 400, want: "edits"},
		{
			method: "POST", path: "/v1/edits",
			body:   `[{"key":"x","value":1},{"key":"plans/x","value":{}}]`,
			status: 422, want: "refused",
		},
		{method: "POST", path: "/v1/peers", body: `{"id":"d"}`, status: 400, want: "no host and port"},
		{method: "POST", path: "/v1/restore", body: "junk", status: 400, want: "no snapshot"},
	} {
		for _, peer := range c.peers {
			status, text := c.callAPI(peer.ID, test.method, test.path, test.body)
			if status != test.status || !strings.Contains(text, test.want) {
				t.Errorf("%s %s at %s: status %d, body %s; want status %d, body with %s",
					test.method, test.path, peer.ID, status, text, test.status, test.want)
			}
		}
	}
	c.awaitConvergence()
}

func TestAPI_RestoreReturnsToBackupState(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "plans/x", "1")
	c.writeUntilCommitted("b", "plans/y", "2")
	_, backup := c.callAPI("c", "GET", "/v1/backup", "")
	c.writeUntilCommitted("c", "plans/x", "9")
	c.writeUntilCommitted("c", "plans/z", "3")
	if status, text := c.callAPI("b", "POST", "/v1/restore", backup); status != 200 {
		t.Fatal(status, text)
	}
	c.awaitConvergence()
	values := c.running["a"].ReadLocalPrefix("plans/")
	if len(values) != 2 || string(values["x"]) != "1" || string(values["y"]) != "2" {
		t.Errorf("%s", values)
	}
	if status, _ := c.callAPI("b", "POST", "/v1/restore", backup[:len(backup)-3]); status != 400 {
		t.Errorf("restore of a truncated backup: status %d, want 400", status)
	}
}

// TestAPI_RestoresBackupLargerThanOneCommand guards against a backup that cannot be restored. A backup with more keys
// than the maximum number of edits in a command could be taken, but the restore was rejected.
func TestAPI_RestoresBackupLargerThanOneCommand(t *testing.T) {
	const keys = 2*kv.MaxEdits + 203
	c := newCluster(t, nil)
	writeManyKeys(c, keys)
	c.writeUntilCommitted("a", "plans/x", "1")
	_, backup := c.callAPI("b", "GET", "/v1/backup", "")
	c.writeUntilCommitted("a", "plans/x", "2")
	c.writeUntilCommitted("b", "plans/y", "3")
	leader := c.running[c.leader()]
	var deletions []kv.Edit
	for _, key := range leader.localKeys("many/")[:kv.MaxEdits] {
		deletions = append(deletions, kv.Edit{Key: key})
	}
	if err := leader.Edit(deletions); err != nil {
		t.Fatal(err)
	}
	for _, at := range []string{c.leader(), c.followers(c.leader())[0]} {
		if status, text := c.callAPI(at, "POST", "/v1/restore", backup); status != 200 {
			t.Errorf("restored through %s: status %d, body %s", at, status, text)
		}
	}
	c.awaitConvergence()
	if got := len(c.running["a"].localKeys("many/")); got != keys {
		t.Errorf("got %d keys, want %d", got, keys)
	}
	if plans := c.running["a"].ReadLocalPrefix("plans/"); len(plans) != 1 || string(plans["x"]) != "1" {
		t.Errorf("%s", plans)
	}
}

// TestAPI_DeletionByNullIsNotValidated guards against a plan that cannot be deleted. JSON null deletes a key, but
// was passed to Options.Validate as if it were the value of a plan.
func TestAPI_DeletionByNullIsNotValidated(t *testing.T) {
	c := newCluster(t, validatePlanHasRate)
	c.writeUntilCommitted("a", "plans/x", `{"rate":1}`)
	for _, peer := range c.peers {
		status, text := c.callAPI(peer.ID, "POST", "/v1/edits", `[{"key":"plans/x","value":null}]`)
		if status != 200 {
			t.Errorf("deletion through %s: status %d, body %s", peer.ID, status, text)
		}
	}
	if _, found := c.running[c.leader()].ReadLocal("plans/x"); found {
		t.Error("the plan was not deleted")
	}
}
