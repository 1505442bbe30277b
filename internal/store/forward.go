package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

const (
	// forwardedHeader marks a request that was forwarded once, and holds the ID of the replica that did so. Two
	// replicas that take each other for the leader must not forward a request back and forth.
	forwardedHeader = "Fawnplank-Passed-On"
	// forwardTimeout is longer than a forwarded request may take at the leader, so that the leader's own answer
	// arrives.
	forwardTimeout = writeTimeout + time.Second
	// maxErrorBytes bounds how much of the leader's answer appears in an error.
	maxErrorBytes = 64 << 10
)

func (s *Store) isLeader() bool { return s.raft.State() == raft.Leader }

// leaderAPI returns the leader's ID and the address of its API, or ErrNoLeader. The leader may be this
// replica.
func (s *Store) leaderAPI() (id, address string, err error) {
	_, leader := s.raft.LeaderWithID()
	id = string(leader)
	address = s.apiAddress(id)
	if id == "" || address == "" {
		return "", "", ErrNoLeader
	}
	return id, address, nil
}

// ReadFromLeader reads a key through the leader, and so sees everything that is committed.
func (s *Store) ReadFromLeader(key string) (kv.Entry, bool, error) {
	entry, ok, err := s.readAsLeader(key)
	if !errors.Is(err, errNotLeader) {
		return entry, ok, err
	}
	leader, address, err := s.leaderAPI()
	if err != nil || leader == s.options.Self.ID {
		return kv.Entry{}, false, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	response, err := s.requestLeader(ctx, http.MethodGet, address, "/v1/kv/"+key, nil)
	if err != nil {
		return kv.Entry{}, false, err
	}
	defer closeBody(response)
	switch response.StatusCode {
	case http.StatusNotFound:
		return kv.Entry{}, false, nil
	case http.StatusOK:
		err = json.NewDecoder(response.Body).Decode(&entry)
		return entry, err == nil, err
	default:
		return kv.Entry{}, false, errors.New(response.Status)
	}
}

// Edit commits all edits or none. If another replica is the leader, it sends them there. If a key does not
// have the expected index, the error is a kv.ConflictError; after any other error the edits may still be
// committed. On the leader, Edit does not call Options.Validate; its callers write only values of their own.
func (s *Store) Edit(edits []kv.Edit) error {
	if s.isLeader() {
		_, err := s.apply(edits)
		return err
	}
	_, address, err := s.leaderAPI()
	if err != nil {
		return err
	}
	body, err := json.Marshal(edits)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	response, err := s.requestLeader(ctx, http.MethodPost, address, "/v1/edits", body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusConflict:
		return kv.ConflictError{}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	return nil
}

// forward sends a request to the leader and returns the leader's answer to the client. A request that was
// already forwarded is not forwarded again.
func (s *Store) forward(w http.ResponseWriter, r *http.Request, body []byte) error {
	leader, address, err := s.leaderAPI()
	if err != nil || r.Header.Get(forwardedHeader) != "" || leader == s.options.Self.ID {
		return ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	response, err := s.requestLeader(ctx, r.Method, address, r.URL.RequestURI(), body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	// The status has been sent, so if the client or the leader goes away the body is cut short.
	_, _ = io.Copy(w, response.Body)
	return nil
}

// requestLeader sends a request to the leader's API, marked so that the leader does not forward it again. The
// caller closes the body.
func (s *Store) requestLeader(
	ctx context.Context, method, address, path string, body []byte,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.apiURL(address, path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(forwardedHeader, s.options.Self.ID)
	return s.client.Do(request)
}

// apiURL returns the URL of a path of the API at an address.
func (s *Store) apiURL(address, path string) string { return s.scheme + "://" + address + path }

// getJSON decodes an answer from another replica's API into target.
func (s *Store) getJSON(ctx context.Context, address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.apiURL(address, path), http.NoBody)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

// closeBody closes the body of an answer, which was only read.
func closeBody(response *http.Response) { _ = response.Body.Close() }
