package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	// forwardedHeader marks a request that was forwarded once, and holds the ID of the replica that did so. Two
	// replicas that take each other for the leader must not forward a request back and forth.
	forwardedHeader = "Fawnplank-Passed-On"
	// forwardTimeout is longer than a forwarded request may take at the leader, so that the leader's own answer
	// arrives.
	forwardTimeout = quorumTimeout + time.Second
)

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

// getJSON decodes an answer from another replica's API into target. An answer that is not a success is a
// *StatusError.
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
		return newStatusError(response)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

// closeBody closes the body of an answer, which was only read.
func closeBody(response *http.Response) { _ = response.Body.Close() }
