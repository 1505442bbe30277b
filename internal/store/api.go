package store

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"fawnplank/internal/retryaccept"
	"fawnplank/internal/store/kv"
)

const (
	// maxBodyBytes bounds the body of a request. The largest bodies are backups to restore.
	maxBodyBytes = 64 << 20
	// readHeaderTimeout bounds the time in which the header of a request arrives. For the first request of a
	// connection, the time begins when the connection is accepted; for a later request, with its first bytes.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time in which a whole request arrives, and writeTimeout the time from its header to the
	// end of its answer. Both allow for a backup over a slow link.
	readTimeout  = time.Minute
	writeTimeout = 2 * time.Minute
	// idleTimeout bounds the time between two requests on a connection. It is longer than apiIdleTimeout, so that the
	// calling replica usually closes an idle connection first, and seldom sends a request on a connection that the
	// server is closing.
	idleTimeout = 2 * time.Minute
)

// Paths of the API that a replica calls on other replicas.
const (
	kvPath    = "/v1/kv"
	editsPath = "/v1/edits"
	// backupPath is the path that returns the leader's state; see fetchLeaderState.
	backupPath = "/v1/backup"
	// positionPath is the path that returns the position of a replica's log, even before its Raft runs; see rejoin.
	positionPath = "/v1/witness"
)

// handler answers a request whose body has already been read. If it returns an error, it has written nothing
// to w: errorStatus gives the status of the answer, except that a request that fails with errNotLeader is
// forwarded to the leader. Handlers run concurrently.
type handler func(w http.ResponseWriter, r *http.Request, body []byte) error

// listenAPI opens the listener of the API.
func (s *Store) listenAPI() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.options.Self.API)
	if err != nil {
		return err
	}
	listener = retryaccept.New(listener, logComponent) // otherwise a failed accept would end the server permanently
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS.ServerConfig())
	}
	s.listener = listener
	return nil
}

// serveAPI serves the API until Close.
func (s *Store) serveAPI() {
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	s.background.Go(func() {
		_ = s.server.Serve(s.listener) // returns after Close, with an error that only reports the close
	})
}

// routes returns the API of a replica: HTTP with JSON, served by every replica. A request that needs the
// leader is forwarded to it, once.
//
//	GET    /v1/kv/KEY            the entry; with ?stale=1, from this replica's state, which may be outdated
//	PUT    /v1/kv/KEY            sets the value; with ?if=INDEX, only at that index (0: no such key)
//	DELETE /v1/kv/KEY            deletes the key; ?if=INDEX as for PUT
//	GET    /v1/kv?prefix=P       the keys in this replica's state
//	POST   /v1/edits             commits several edits, all or none
//	GET    /v1/status            the replica's status
//	POST   /v1/peers             adds a replica (a Peer)
//	DELETE /v1/peers/ID          removes a replica
//	GET    /v1/backup            a snapshot of the leader's state
//	POST   /v1/restore           restores the state of a snapshot, by edits
//
// GET /v1/witness returns the position of this replica's log, even before its Raft runs. Replicas that are
// starting call it (see rejoin).
func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+positionPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.localPosition())
	})
	for pattern, handle := range map[string]handler{
		"GET " + kvPath + "/{key...}":    s.handleGet,
		"PUT " + kvPath + "/{key...}":    s.handleEdit,
		"DELETE " + kvPath + "/{key...}": s.handleEdit,
		"GET " + kvPath:                  s.handleKeys,
		"POST " + editsPath:              s.handleEdits,
		"GET /v1/status":                 s.handleStatus,
		"POST /v1/peers":                 s.handleAddPeer,
		"DELETE /v1/peers/{id}":          s.handleRemovePeer,
		"GET " + backupPath:              s.handleBackup,
		"POST /v1/restore":               s.handleRestore,
	} {
		mux.Handle(pattern, s.bufferBody(handle))
	}
	return mux
}

// bufferBody returns a handler that reads the request's body, calls handle, forwards the request if only the leader
// can answer it, and answers errors.
func (s *Store) bufferBody(handle handler) http.Handler {
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

// errorStatus returns the HTTP status of the answer to a request that failed with err. The status is 503 for an
// error that it does not recognize; the edits may still be committed then.
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

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request, _ []byte) error {
	writeJSON(w, s.Status())
	return nil
}

// writeJSON answers with a value in JSON. Write errors are ignored, because the client that would receive them has
// disconnected.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError answers with an error in JSON. Like writeJSON, it ignores write errors.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
