package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"fawnplank/internal/store"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/tlsconfig"
)

// storeCallTimeout bounds a call to a replica. It is well above the five seconds for which a replica lets a write wait
// for an election.
const storeCallTimeout = 15 * time.Second

// storeClient calls the API of one replica. Each call opens a new connection and reads the certificate files again. It
// is safe for concurrent use. It implements the Replica interfaces of dnsserver and billingservice for commands that
// read or repair the data of those packages in the store.
type storeClient struct {
	address string
	flag    string // name of the flag that set the address, for errors
	tls     tlsconfig.Files
	// readFailure records the first error of ReadLocal and ReadLocalPrefix. If it is nil, such errors are not recorded.
	readFailure *readErrorRecorder
}

// readErrorRecorder records the first error of ReadLocal and ReadLocalPrefix. These methods cannot return an error,
// because their signatures in the Replica interfaces have no error result. Edit fails with the recorded error, and a
// command checks it before it reports success. A nil *readErrorRecorder records nothing.
type readErrorRecorder struct {
	mu  sync.Mutex
	err error
}

// record stores the error unless it is nil or an earlier one is stored.
func (r *readErrorRecorder) record(err error) {
	if r == nil || err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// Err returns the first error, or nil.
func (r *readErrorRecorder) Err() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// storeStatusError is a replica's answer with a status other than 200 OK.
type storeStatusError struct {
	Code    int
	Status  string // status line of HTTP without the protocol version
	Message string // error message from the body; may be empty
}

// Error returns the status and, if there is one, the message.
func (e *storeStatusError) Error() string {
	if e.Message == "" {
		return e.Status
	}
	return e.Status + ": " + e.Message
}

func newStoreStatusError(response *http.Response, body []byte) *storeStatusError {
	statusError := &storeStatusError{Code: response.StatusCode, Status: response.Status}
	var answer struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &answer) == nil {
		statusError.Message = answer.Error
	}
	return statusError
}

// storeCall is one call to a replica.
type storeCall struct {
	method string // HTTP method
	path   string // path and query
	body   []byte // nil for no body
}

// do makes one call and returns the body of the answer. If the status is not 200 OK, it returns a *storeStatusError.
func (c storeClient) do(ctx context.Context, call storeCall) ([]byte, error) {
	client, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.url(call.path), bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, c.describeConnectionError(err)
	}
	defer func() {
		_ = response.Body.Close() // an error after reading the body has no effect
	}()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, c.describeConnectionError(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, newStoreStatusError(response, responseBody)
	}
	return responseBody, nil
}

// httpClient returns a client for one call.
func (c storeClient) httpClient() (*http.Client, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	if c.tls.Enabled() {
		source, err := tlsconfig.New(c.tls)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = source.ClientConfig()
	}
	return &http.Client{Timeout: storeCallTimeout, Transport: transport}, nil
}

func (c storeClient) url(path string) string {
	if c.tls.Enabled() {
		return "https://" + c.address + path
	}
	return "http://" + c.address + path
}

// describeConnectionError adds the replica's address to a connection error and, for a refused connection, a remedy.
func (c storeClient) describeConnectionError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("store: no replica listens at %s; start it, or name the API address of another one "+
			"with %s: %w", c.address, c.flag, err)
	}
	return fmt.Errorf("store: replica at %s: %w", c.address, err)
}

// read makes a GET call with the given path.
func (c storeClient) read(path string) ([]byte, error) {
	return c.do(context.Background(), storeCall{method: http.MethodGet, path: path})
}

// ReadLocal reads a key from the state of this replica, which may be stale. If the call fails, it records the error and
// reports the key as missing.
func (c storeClient) ReadLocal(key string) (entry kv.Entry, ok bool) {
	body, err := c.read(store.KeyPath(key) + "?stale=1")
	if hasStatus(err, http.StatusNotFound) {
		return entry, false
	}
	if err == nil {
		err = json.Unmarshal(body, &entry)
	}
	c.readFailure.record(err)
	return entry, err == nil
}

// ReadFromLeader reads a key through the leader.
func (c storeClient) ReadFromLeader(key string) (entry kv.Entry, ok bool, err error) {
	body, err := c.read(store.KeyPath(key))
	if hasStatus(err, http.StatusNotFound) {
		return entry, false, nil
	}
	if err != nil {
		return entry, false, err
	}
	err = json.Unmarshal(body, &entry)
	return entry, err == nil, err
}

// ReadLocalPrefix reads all keys with a prefix from the state of this replica. It returns the values by key without the
// prefix. If the call for a key fails, it records the error and omits the key.
func (c storeClient) ReadLocalPrefix(prefix string) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	var keys []string
	body, err := c.read(store.KeyListPath(prefix))
	if err == nil {
		err = json.Unmarshal(body, &keys)
	}
	c.readFailure.record(err)
	for _, key := range keys {
		if entry, ok := c.ReadLocal(key); ok {
			values[strings.TrimPrefix(key, prefix)] = entry.Value
		}
	}
	return values
}

// Edit applies all edits or none. It returns a kv.ConflictError if the index of a key differs from the index that an
// edit expects. After a failed read it returns the recorded error and edits nothing, because the edits might be based
// on keys that were wrongly reported as missing.
func (c storeClient) Edit(edits []kv.Edit) error {
	if err := c.readFailure.Err(); err != nil {
		return err
	}
	body, err := json.Marshal(edits)
	if err != nil {
		return err
	}
	_, err = c.do(context.Background(), storeCall{method: http.MethodPost, path: "/v1/edits", body: body})
	var status *storeStatusError
	if errors.As(err, &status) && status.Code == http.StatusConflict {
		return kv.ParseConflict(status.Message)
	}
	return err
}

func hasStatus(err error, code int) bool {
	var status *storeStatusError
	return errors.As(err, &status) && status.Code == code
}
