package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"fawnplank/internal/store/kv"
)

// maxBodyBytes bounds a request's body. It holds a backup of a store of settings many times over.
const maxBodyBytes = 64 << 20

var (
	// errStarting answers requests until Raft runs.
	errStarting = errors.New("starting")
	// errRejected says that Options.Validate keeps a value out of the log.
	errRejected = errors.New("refused")
)

// handler answers a request whose body is read already. An error is answered by errorStatus; errNotLeader
// makes the request go to the leader. After an error nothing has been written to w.
type handler func(w http.ResponseWriter, r *http.Request, body []byte) error

// routes is the API, HTTP with JSON, on every replica. What needs the leader is forwarded to it, once.
//
//	GET    /v1/kv/KEY            the entry; ?stale=1: as this replica has it
//	PUT    /v1/kv/KEY            the value; ?if=INDEX: only if it is of that index (0: not there)
//	DELETE /v1/kv/KEY            likewise
//	GET    /v1/kv?prefix=P       the keys, as this replica has them
//	POST   /v1/edits             several edits, which are committed together or not at all
//	GET    /v1/status            the replica
//	POST   /v1/peers             adds a replica (a Peer)
//	DELETE /v1/peers/ID          removes one
//	GET    /v1/backup            a snapshot of the leader's state
//	POST   /v1/restore           edits that make the state what a snapshot held
//
// GET /v1/witness is for replicas that start: how far this one's log is, also before its Raft runs (see
// rejoin).
func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/witness", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.position())
	})
	for pattern, handle := range map[string]handler{
		"GET /v1/kv/{key...}":    s.handleGet,
		"PUT /v1/kv/{key...}":    s.handleEdit,
		"DELETE /v1/kv/{key...}": s.handleEdit,
		"GET /v1/kv":             s.handleKeys,
		"POST /v1/edits":         s.handleEdits,
		"GET /v1/status":         s.handleStatus,
		"POST /v1/peers":         s.handleAddPeer,
		"DELETE /v1/peers/{id}":  s.handleRemovePeer,
		"GET /v1/backup":         s.handleBackup,
		"POST /v1/restore":       s.handleRestore,
	} {
		mux.Handle(pattern, s.withBody(handle))
	}
	return mux
}

// withBody reads the request's body, calls handle, forwards what only the leader can answer, and answers
// errors.
func (s *Store) withBody(handle handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isStarted() {
			writeError(w, http.StatusServiceUnavailable, errStarting)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		err = handle(w, r, body)
		if errors.Is(err, errNotLeader) {
			err = s.forward(w, r, body)
		}
		if err != nil {
			writeError(w, errorStatus(err), err)
		}
	})
}

func (s *Store) isStarted() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.raft != nil
}

// errorStatus is the HTTP status that answers an error. Of one that it does not know, the edits may be
// committed yet.
func errorStatus(err error) int {
	var conflict kv.ConflictError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.Is(err, kv.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, errRejected):
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request, _ []byte) error {
	key := r.PathValue("key")
	var entry kv.Entry
	var found bool
	if r.FormValue("stale") != "" {
		entry, found = s.ReadLocal(key)
	} else {
		var err error
		if entry, found, err = s.read(key); err != nil {
			return err
		}
	}
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
	if text := r.FormValue("if"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("if=%.20q is no index: %w", text, kv.ErrInvalid)
		}
		edit.Check = true
		edit.If = kv.Index(index)
	}
	return s.write(w, []kv.Edit{edit})
}

func (s *Store) handleEdits(w http.ResponseWriter, _ *http.Request, body []byte) error {
	var edits []kv.Edit
	if err := json.Unmarshal(body, &edits); err != nil {
		return fmt.Errorf("edits: %w: %w", err, kv.ErrInvalid)
	}
	return s.write(w, edits)
}

func (s *Store) handleKeys(w http.ResponseWriter, r *http.Request, _ []byte) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	keys := append([]string{}, s.state.Keys(r.FormValue("prefix"))...) // [] and not null where there are none
	writeJSON(w, keys)
	return nil
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request, _ []byte) error {
	writeJSON(w, s.Status())
	return nil
}

// write validates edits, commits them on the leader and answers with their index.
//
// The replica that was asked validates them, and the leader does so again: the leader may run without a
// gateway.
func (s *Store) write(w http.ResponseWriter, edits []kv.Edit) error {
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

// validate asks Options.Validate about each value; a deletion has none.
func (s *Store) validate(edits []kv.Edit) error {
	if s.options.Validate == nil {
		return nil
	}
	for _, edit := range edits {
		if len(edit.Value) == 0 {
			continue
		}
		if err := s.options.Validate(edit.Key, edit.Value); err != nil {
			return fmt.Errorf("%w: %s: %w", errRejected, edit.Key, err)
		}
	}
	return nil
}

// writeJSON answers with a value. A client that is gone is not waited for: there is nobody to report an error
// to.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError answers with an error; see writeJSON.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
