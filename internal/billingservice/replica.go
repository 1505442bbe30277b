package billingservice

import (
	"encoding/json"
	"errors"

	"fawnplank/internal/store/kv"
)

// maxEdits bounds the edits of one write that covers many accounts. It leaves a tenth of a command of the
// store for the edits that end such a write.
const maxEdits = kv.MaxEdits * 9 / 10

// Replica is the part of a store replica that is used to store accounts. It must be safe for concurrent use.
type Replica interface {
	// ReadLocal reads a key as this replica has it.
	ReadLocal(key string) (kv.Entry, bool)
	// ReadFromLeader reads a key as the leader has it, including everything that is committed.
	ReadFromLeader(key string) (kv.Entry, bool, error)
	// ReadLocalPrefix reads the keys with a prefix as this replica has them. The result is indexed by the part of the
	// key that follows the prefix.
	ReadLocalPrefix(prefix string) map[string]json.RawMessage
	// Edit commits all edits or none. It returns a kv.ConflictError if a key is not as expected. After any other
	// error the edits may still be committed.
	Edit(edits []kv.Edit) error
}

// isConflict reports whether a write failed because somebody else has changed what it was based on.
func isConflict(err error) bool {
	var conflict kv.ConflictError
	return errors.As(err, &conflict)
}
