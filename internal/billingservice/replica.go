package billingservice

import (
	"encoding/json"
	"errors"

	"fawnplank/internal/store/kv"
)

// maxEditsPerWrite bounds the edits of one write that covers many accounts. It leaves a tenth of the edits of a store
// command for those that are appended at the end of such a write.
const maxEditsPerWrite = kv.MaxEdits * 9 / 10

// Replica is the interface of a store replica that this package requires. It must be safe for concurrent use.
type Replica interface {
	// ReadLocal reads a key from this replica, which may not have applied the latest writes.
	ReadLocal(key string) (kv.Entry, bool)
	// ReadFromLeader reads a key from the leader, which has applied every committed write.
	ReadFromLeader(key string) (kv.Entry, bool, error)
	// ReadLocalPrefix reads the values of all keys with a prefix from this replica. The result is indexed by the part
	// of the key after the prefix.
	ReadLocalPrefix(prefix string) map[string]json.RawMessage
	// Edit commits all edits or none. It returns a kv.ConflictError if an entry does not have the index that an edit
	// expects. After any other error the edits may still be committed.
	Edit(edits []kv.Edit) error
}

// isConflict reports whether a write failed because an entry has changed since the writer read it.
func isConflict(err error) bool {
	var conflict kv.ConflictError
	return errors.As(err, &conflict)
}
