package store

import (
	"encoding/json"
	"net/http"
	"testing"
)

// TestKeyPath_NamesTheKeyItself guards against another key that is read or overwritten: a key with a character that has
// a meaning in a URL went to the key that was left of it.
func TestKeyPath_NamesTheKeyItself(t *testing.T) {
	c := newCluster(t, nil)
	leader := c.leader()
	follower := c.running[c.followers(leader)[0]]
	for _, key := range []string{"q/a", "q/a?b", "q/a#b", "q/a%41b", "q//a", "q/../a", "..", ".", "q/a+b", "q/a;b&c=d"} {
		value, err := json.Marshal(key)
		if err != nil {
			t.Fatal(err)
		}
		c.eventually("a write of "+key, func() bool {
			status, _ := c.call(leader, http.MethodPut, KeyPath(key), string(value))
			return status == http.StatusOK
		})
		entry, found := c.running[leader].ReadLocal(key)
		if !found || string(entry.Value) != string(value) {
			t.Errorf("%q holds %s (%t)", key, entry.Value, found)
		}
		if entry, found, err := follower.ReadFromLeader(key); err != nil || !found || string(entry.Value) != string(value) {
			t.Errorf("%q read from the leader: %s, %t, %v", key, entry.Value, found, err)
		}
		if status, _ := c.call(follower.options.Self.ID, http.MethodDelete, KeyPath(key), ""); status != http.StatusOK {
			t.Errorf("%q deleted by way of a follower: status %d", key, status)
		}
		if _, found := c.running[leader].ReadLocal(key); found {
			t.Errorf("%q is still there", key)
		}
	}
	if got := c.running[leader].ReadLocalPrefix("q"); len(got) != 0 {
		t.Errorf("left: %v", got)
	}
}
