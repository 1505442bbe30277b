// Package frontend serves clients. It owns the listener's connections, the clients' input and the order of
// responses on each connection: it parses commands in place, submits requests to the dispatcher, and carries
// out the steps that the dispatcher picks. It never leaves a submitted request without its one response, and never
// submits a request with an invalid head. It does not decide what happens to a request, with one exception: it rejects
// requests once a drain has lasted for drainRejectDelay (drain_rejection.go).
//
// New creates a Server, Serve runs it, and Shutdown ends it once the listener is closed. Each connection has
// one reader goroutine, which parses and submits. Each request has its own goroutine, which runs it up to its
// response. The reader does not wait for these goroutines; responses are written by whichever goroutine
// completes the first of those that are due. All these goroutines end with their connection, which the server
// counts until its reader has ended. It stops counting an evicted connection at once, so Shutdown may return while
// the reader of such a connection is about to end. Serve starts one more goroutine, which sweeps the connections and
// ends once Serve has returned and no connection is counted.
//
// The methods of Server are safe for concurrent use, but Serve may be called only once.
//
// Locks are taken in this order: connection.mu, then connection.inputMu. Server.mu comes before both, but
// code that holds Server.mu takes connection.mu only with TryLock: connection.mu is held while a response is
// written, and a client that reads nothing must not hold up the others. Code that holds connection.mu never
// takes Server.mu.
//
// Each concern has a file. Accepting: accept.go, connection_capacity.go, idle_eviction.go with eviction_rank.go. A
// connection: connection.go with the table of its states, reader.go and reader_buffer.go, command_timeout.go,
// invalid_command_pause.go, backpressure.go, client_gone.go, connection_error.go, connection_end.go. A command:
// commands.go, parser.go, request.go with request_rewrite.go and request_usage.go, responses.go. The end: drain.go,
// drain_rejection.go, outlasting_connections.go, shutdown.go.
package frontend
