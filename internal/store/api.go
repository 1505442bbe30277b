package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// The API, HTTP with JSON, on every replica. What needs the leader is passed on to it, once.
//
//	GET    /v1/kv/KEY            the entry; ?stale=1: as this replica has it
//	PUT    /v1/kv/KEY            the value; ?if=INDEX: only if it is of that index (0: not there)
//	DELETE /v1/kv/KEY            likewise
//	GET    /v1/kv?prefix=P       the keys, as this replica has them
//	POST   /v1/edits             several edits, which land together or not at all
//	GET    /v1/status            the replica
//	POST   /v1/peers             adds a replica (a Peer)
//	DELETE /v1/peers/ID          removes one
//	GET    /v1/backup            a snapshot of the leader's state
//	POST   /v1/restore           edits that make the state what a snapshot held
func (s *Store) api() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/witness", func(w http.ResponseWriter, _ *http.Request) { tell(w, s.witness()) })
	handle := func(pattern string, what func(w http.ResponseWriter, r *http.Request, body []byte) error) {
		m.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s.mu.RLock()
			starting := s.raft == nil
			s.mu.RUnlock()
			if starting {
				fail(w, http.StatusServiceUnavailable, errors.New("starting"))
				return
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
			if err != nil {
				fail(w, http.StatusRequestEntityTooLarge, err)
				return
			}
			err = what(w, r, body)
			if errors.Is(err, errElsewhere) {
				err = s.pass(w, r, body)
			}
			var conflict kv.ConflictError
			switch {
			case err == nil:
			case errors.As(err, &conflict):
				fail(w, http.StatusConflict, err)
			case errors.Is(err, kv.ErrInvalid):
				fail(w, http.StatusBadRequest, err)
			case errors.Is(err, errRefused):
				fail(w, http.StatusUnprocessableEntity, err)
			default: // it may land yet
				fail(w, http.StatusServiceUnavailable, err)
			}
		})
	}
	handle("GET /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request, _ []byte) error {
		e, ok, err := s.get(r.PathValue("key"), r.FormValue("stale") == "")
		if err != nil {
			return err
		}
		if !ok {
			fail(w, http.StatusNotFound, fmt.Errorf("no key %s", r.PathValue("key")))
			return nil
		}
		tell(w, e)
		return nil
	})
	edit := func(w http.ResponseWriter, r *http.Request, body []byte) error {
		e := kv.Edit{Key: r.PathValue("key")}
		if r.Method == "PUT" {
			if e.Value = body; len(body) == 0 {
				return fmt.Errorf("key %s: no value: %w", e.Key, kv.ErrInvalid)
			}
		}
		if text := r.FormValue("if"); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return fmt.Errorf("if=%.20q is no index: %w", text, kv.ErrInvalid)
			}
			e.Check, e.If = true, kv.Index(n)
		}
		return s.write(w, []kv.Edit{e})
	}
	handle("PUT /v1/kv/{key...}", edit)
	handle("DELETE /v1/kv/{key...}", edit)
	handle("POST /v1/edits", func(w http.ResponseWriter, r *http.Request, body []byte) error {
		var edits []kv.Edit
		if err := json.Unmarshal(body, &edits); err != nil {
			return fmt.Errorf("edits: %v: %w", err, kv.ErrInvalid)
		}
		return s.write(w, edits)
	})
	handle("GET /v1/kv", func(w http.ResponseWriter, r *http.Request, _ []byte) error {
		s.mu.RLock()
		defer s.mu.RUnlock()
		tell(w, append([]string{}, s.state.Keys(r.FormValue("prefix"))...))
		return nil
	})
	handle("GET /v1/status", func(w http.ResponseWriter, _ *http.Request, _ []byte) error {
		tell(w, s.Status())
		return nil
	})
	handle("POST /v1/peers", func(w http.ResponseWriter, _ *http.Request, body []byte) error {
		var p Peer
		if err := json.Unmarshal(body, &p); err != nil {
			return fmt.Errorf("peer: %v: %w", err, kv.ErrInvalid)
		}
		if _, err := ParsePeer(p.ID + "@" + p.Raft + "@" + p.API); err != nil {
			return fmt.Errorf("%v: %w", err, kv.ErrInvalid)
		}
		if err := s.led(s.raft.AddVoter(raft.ServerID(p.ID), raft.ServerAddress(p.Raft), 0, writeWait)); err != nil {
			return err
		}
		text, _ := json.Marshal(p)
		return s.write(w, []kv.Edit{{Key: peerPrefix + p.ID, Value: text}})
	})
	handle("DELETE /v1/peers/{id}", func(w http.ResponseWriter, r *http.Request, _ []byte) error {
		if err := s.led(s.raft.RemoveServer(raft.ServerID(r.PathValue("id")), 0, writeWait)); err != nil {
			return err
		}
		return s.write(w, []kv.Edit{{Key: peerPrefix + r.PathValue("id")}})
	})
	handle("GET /v1/backup", func(w http.ResponseWriter, _ *http.Request, _ []byte) error {
		if _, _, err := s.get("", true); err != nil {
			return err
		}
		s.mu.RLock()
		text, err := s.state.Snapshot()
		s.mu.RUnlock()
		if err == nil {
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Write(text)
		}
		return err
	})
	handle("POST /v1/restore", func(w http.ResponseWriter, _ *http.Request, body []byte) error {
		old, err := kv.Load(body)
		if err != nil {
			return fmt.Errorf("%v: %w", err, kv.ErrInvalid)
		}
		var edits []kv.Edit
		s.mu.RLock()
		for _, k := range s.state.Keys("") {
			if _, there := old.Get(k); !there && !strings.HasPrefix(k, peerPrefix) {
				edits = append(edits, kv.Edit{Key: k})
			}
		}
		s.mu.RUnlock()
		for _, k := range old.Keys("") { // replicas are as they are now, not as they were then
			if e, _ := old.Get(k); !strings.HasPrefix(k, peerPrefix) {
				edits = append(edits, kv.Edit{Key: k, Value: e.Value})
			}
		}
		return s.write(w, edits)
	})
	return m
}

var errRefused = errors.New("refused")

// write checks edits, and lands them.
func (s *Store) write(w http.ResponseWriter, edits []kv.Edit) error {
	// Judged by the replica that was asked, and by the leader again: the leader may run without a front door.
	for _, e := range edits {
		if s.options.Validate != nil && len(e.Value) > 0 {
			if err := s.options.Validate(e.Key, e.Value); err != nil {
				return fmt.Errorf("%w: %s: %v", errRefused, e.Key, err)
			}
		}
	}
	if s.raft.State() != raft.Leader {
		return errElsewhere
	}
	index, err := s.apply(edits)
	if err == nil {
		tell(w, map[string]kv.Index{"index": index})
	}
	return err
}

// ReadFromLeader is a key with all that has landed, read by way of the leader.
func (s *Store) ReadFromLeader(key string) (e kv.Entry, ok bool, err error) {
	if e, ok, err = s.get(key, true); !errors.Is(err, errElsewhere) {
		return e, ok, err
	}
	_, leader := s.raft.LeaderWithID()
	at := s.apiOf(string(leader))
	if leader == "" || at == "" || string(leader) == s.options.Self.ID {
		return e, false, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeWait)
	defer cancel()
	answer, err := s.leader(ctx, "GET", at, "/v1/kv/"+key, nil)
	if err != nil {
		return e, false, err
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusNotFound:
		return e, false, nil
	case http.StatusOK:
		err = json.NewDecoder(answer.Body).Decode(&e)
		return e, err == nil, err
	}
	return e, false, errors.New(answer.Status)
}

// leader makes a request of the leader's API, which must not pass it on again. The answer's body is the caller's to close.
func (s *Store) leader(ctx context.Context, method, at, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.scheme+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(passedOn, s.options.Self.ID)
	return s.client.Do(request)
}

// Edit lands edits, together or not at all, at the leader if that is another. A key that is not as asked for is
// kv.Conflict; after any other error they may land yet.
func (s *Store) Edit(edits []kv.Edit) error {
	if s.raft.State() == raft.Leader {
		_, err := s.apply(edits)
		return err
	}
	_, leader := s.raft.LeaderWithID()
	at := s.apiOf(string(leader))
	if leader == "" || at == "" {
		return ErrNoLeader
	}
	body, err := json.Marshal(edits)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeWait+time.Second)
	defer cancel()
	answer, err := s.leader(ctx, "POST", at, "/v1/edits", body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 64<<10))
	switch {
	case err != nil:
		return err
	case answer.StatusCode == http.StatusConflict:
		return kv.ConflictError{}
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", answer.Status, text)
	}
	return nil
}

func (s *Store) led(f raft.IndexFuture) error {
	if err := f.Error(); errors.Is(err, raft.ErrNotLeader) {
		return errElsewhere
	} else {
		return err
	}
}

const passedOn = "Fawnplank-Passed-On"

// pass hands a request on to the leader, once: two replicas that take each other for it must not play ball.
func (s *Store) pass(w http.ResponseWriter, r *http.Request, body []byte) error {
	_, leader := s.raft.LeaderWithID()
	at := s.apiOf(string(leader))
	if leader == "" || at == "" || r.Header.Get(passedOn) != "" || string(leader) == s.options.Self.ID {
		return ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeWait+time.Second)
	defer cancel()
	answer, err := s.leader(ctx, r.Method, at, r.URL.RequestURI(), body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	io.Copy(w, answer.Body)
	return nil
}

// call makes a call to another replica's API.
func (s *Store) getJSON(ctx context.Context, method, at, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, s.scheme+at+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

func tell(w http.ResponseWriter, x any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(x)
}

func fail(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
