package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// requireRate keeps plans without a rate out of the log.
func requireRate(key string, value json.RawMessage) error {
	if strings.HasPrefix(key, "plans/") && !bytes.Contains(value, []byte("rate")) {
		return errors.New("a plan without a rate")
	}
	return nil
}

func TestAPI_AnyReplicaServesWritesAndReads(t *testing.T) {
	c := newCluster(t, requireRate)
	for n, writer := range c.peers {
		c.write(writer.ID, "k"+writer.ID, fmt.Sprint(n))
		for _, reader := range c.peers { // what was written is seen everywhere at once
			status, text := c.call(reader.ID, "GET", "/v1/kv/k"+writer.ID, "")
			if status != 200 || !strings.Contains(text, fmt.Sprintf(`"value":%d`, n)) {
				t.Errorf("written at %s, read at %s: %d %s", writer.ID, reader.ID, status, text)
			}
		}
	}
	for _, test := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/v1/kv/none", "", 404, "no key none"},
		{"PUT", "/v1/kv/k", "{", 400, "no JSON"},
		{"PUT", "/v1/kv/k", "", 400, "no value"},
		{"PUT", "/v1/kv/plans/x", `{"burst":1}`, 422, "a plan without a rate"},
		{"PUT", "/v1/kv/k?if=x", "1", 400, "no index"},
		{"PUT", "/v1/kv/ka?if=0", "1", 409, "changed meanwhile"},
		{"POST", "/v1/edits", "[", 400, "edits"},
		{"POST", "/v1/edits", `[{"key":"x","value":1},{"key":"plans/x","value":{}}]`, 422, "refused"},
		{"POST", "/v1/peers", `{"id":"d"}`, 400, "no host and port"},
		{"POST", "/v1/restore", "junk", 400, "no snapshot"},
	} {
		for _, peer := range c.peers {
			status, text := c.call(peer.ID, test.method, test.path, test.body)
			if status != test.status || !strings.Contains(text, test.want) {
				t.Errorf("%s %s at %s: %d %s, want %d %s",
					test.method, test.path, peer.ID, status, text, test.status, test.want)
			}
		}
	}
	c.converge()
}

func TestAPI_BackupAndRestore(t *testing.T) {
	c := newCluster(t, nil)
	c.write("a", "plans/x", "1")
	c.write("b", "plans/y", "2")
	_, backup := c.call("c", "GET", "/v1/backup", "")
	c.write("c", "plans/x", "9")
	c.write("c", "plans/z", "3")
	if status, text := c.call("b", "POST", "/v1/restore", backup); status != 200 {
		t.Fatal(status, text)
	}
	c.converge()
	values := c.running["a"].ReadPrefix("plans/")
	if len(values) != 2 || string(values["x"]) != "1" || string(values["y"]) != "2" {
		t.Errorf("%s", values)
	}
	if status, _ := c.call("b", "POST", "/v1/restore", backup[:len(backup)-3]); status != 400 {
		t.Errorf("a backup cut short: %d", status)
	}
}
