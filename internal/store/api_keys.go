package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"fawnplank/internal/store/kv"
)

// handleGet answers with a key's entry. The read is linearizable unless the request accepts a stale entry.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request, _ []byte) error {
	key := r.PathValue("key")
	if r.FormValue("stale") == "" {
		if err := s.confirmLeadership(); err != nil {
			return err
		}
	}
	entry, found := s.ReadLocal(key)
	if !found {
		writeError(w, http.StatusNotFound, fmt.Errorf("no key %s", key))
		return nil
	}
	writeJSON(w, entry)
	return nil
}

// handleEdit writes or deletes one key.
func (s *Store) handleEdit(w http.ResponseWriter, r *http.Request, body []byte) error {
	edit := kv.Edit{Key: r.PathValue("key")}
	if r.Method == http.MethodPut {
		if len(body) == 0 {
			return fmt.Errorf("key %s: no value: %w", edit.Key, kv.ErrInvalid)
		}
		edit.Value = body
	}
	if indexText := r.FormValue("if"); indexText != "" {
		index, err := strconv.ParseUint(indexText, 10, 64)
		if err != nil {
			return fmt.Errorf("if=%.20q is no index: %w", indexText, kv.ErrInvalid)
		}
		edit.Conditional = true
		edit.ExpectedIndex = kv.Index(index)
	}
	return s.commitAndAnswer(w, []kv.Edit{edit})
}

// handleEdits commits several edits together or not at all.
func (s *Store) handleEdits(w http.ResponseWriter, _ *http.Request, body []byte) error {
	var edits []kv.Edit
	if err := json.Unmarshal(body, &edits); err != nil {
		return fmt.Errorf("edits: %w: %w", err, kv.ErrInvalid)
	}
	return s.commitAndAnswer(w, edits)
}

// handleKeys answers with the keys in this replica's state. The state is not locked while the answer is written,
// because a client that reads slowly would otherwise block all commits on this replica.
func (s *Store) handleKeys(w http.ResponseWriter, r *http.Request, _ []byte) error {
	keys := append([]string{}, s.localKeys(r.FormValue("prefix"))...) // [] instead of null if there are none
	writeJSON(w, keys)
	return nil
}

// localKeys returns the keys with a prefix in this replica's state, in order.
func (s *Store) localKeys(prefix string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readableState().Keys(prefix)
}

// commitAndAnswer validates edits, commits them on the leader, and answers with their index.
//
// Both the replica that received the request and the leader validate the edits, because the leader may run
// without a gateway and then has no Options.Validate.
func (s *Store) commitAndAnswer(w http.ResponseWriter, edits []kv.Edit) error {
	if err := s.validate(edits); err != nil {
		return err
	}
	if !s.isLeader() {
		return errNotLeader
	}
	index, err := s.apply(edits)
	if err != nil {
		return err
	}
	writeJSON(w, map[string]kv.Index{"index": index})
	return nil
}

// validate calls Options.Validate for each value; a deletion has no value.
func (s *Store) validate(edits []kv.Edit) error {
	if s.options.Validate == nil {
		return nil
	}
	for _, edit := range edits {
		if edit.IsDeletion() {
			continue
		}
		if err := s.options.Validate(edit.Key, edit.Value); err != nil {
			return fmt.Errorf("%w: %s: %w", errRejected, edit.Key, err)
		}
	}
	return nil
}
