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
	// forwardedHeader marks a request that was forwarded, and contains the ID of the replica that forwarded it. It
	// prevents a loop between two replicas that each consider the other to be the leader.
	forwardedHeader = "Fawnplank-Passed-On"
	// forwardTimeout is longer than quorumTimeout, which bounds a request at the leader, so that the leader's answer
	// arrives before the forwarding replica gives up.
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
	// The status has already been sent. If the client or the leader disconnects, the body is truncated.
	_, _ = io.Copy(w, response.Body)
	return nil
}

// requestLeader sends a request to the leader's API, with the header that keeps the receiver from forwarding it
// again. The caller closes the body of the response.
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

// getJSON sends a GET request to another replica's API and decodes the answer into target. If the status of the
// answer is not 200, the error is a *StatusError.
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

// closeBody closes the body of a response. The error is ignored, because the body was only read.
func closeBody(response *http.Response) { _ = response.Body.Close() }
