package store

import (
	"encoding/json"
	"net/http"
	"testing"
)

// TestKeyPath_EscapesURLCharacters guards against access to the wrong key. A key with a character that has a special
// meaning in a URL was truncated or rewritten, so that another key was read or overwritten.
func TestKeyPath_EscapesURLCharacters(t *testing.T) {
	c := newCluster(t, nil)
	leader := c.leader()
	follower := c.running[c.followers(leader)[0]]
	for _, key := range []string{"q/a", "q/a?b", "q/a#b", "q/a%41b", "q//a", "q/../a", "..", ".", "q/a+b", "q/a;b&c=d"} {
		value, err := json.Marshal(key)
		if err != nil {
			t.Fatal(err)
		}
		c.eventually("a write of "+key, func() bool {
			status, _ := c.callAPI(leader, http.MethodPut, KeyPath(key), string(value))
			return status == http.StatusOK
		})
		entry, found := c.running[leader].ReadLocal(key)
		if !found || string(entry.Value) != string(value) {
			t.Errorf("key %q has value %s (found: %t)", key, entry.Value, found)
		}
		if entry, found, err := follower.ReadFromLeader(key); err != nil || !found || string(entry.Value) != string(value) {
			t.Errorf("key %q read through the leader: %s, %t, %v", key, entry.Value, found, err)
		}
		if status, _ := c.callAPI(follower.options.Self.ID, http.MethodDelete, KeyPath(key), ""); status != http.StatusOK {
			t.Errorf("key %q deleted through a follower: status %d", key, status)
		}
		if _, found := c.running[leader].ReadLocal(key); found {
			t.Errorf("key %q was not deleted", key)
		}
	}
	if got := c.running[leader].ReadLocalPrefix("q"); len(got) != 0 {
		t.Errorf("keys left after the deletions: %v", got)
	}
}
