package store

import (
	"encoding/json"
	"errors"
	"testing"

	"fawnplank/internal/store/kv"
)

// TestEdit_ConflictNamesKeyOnEveryReplica guards against a conflict without a key. A follower returned an empty
// ConflictError for a conflict that the leader had reported to it.
func TestEdit_ConflictNamesKeyOnEveryReplica(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "k", "1")
	for _, peer := range c.peers {
		edit := kv.Edit{Key: "k", Value: json.RawMessage("2"), Conditional: true, ExpectedIndex: 1}
		err := c.running[peer.ID].Edit([]kv.Edit{edit})
		var conflict kv.ConflictError
		if !errors.As(err, &conflict) || conflict.Key != "k" || conflict.Expected != 1 || conflict.Actual < 2 {
			t.Errorf("edit through %s: conflict %+v (%v)", peer.ID, conflict, err)
		}
	}
}
