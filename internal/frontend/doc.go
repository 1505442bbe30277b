// Package frontend serves client connections. It accepts them from a listener, parses the clients' commands in place,
// submits requests to the dispatcher, carries out the steps that the dispatcher returns, and writes the responses of
// each connection in the order of its commands. Every request that was submitted gets exactly one response, unless its
// client disconnects first. A request with an invalid head (all arguments except the body) is never submitted. The
// package does not decide what happens to a request, with one exception: it rejects requests once a drain has lasted
// for drainRejectDelay (drain_rejection.go).
//
// New creates a Server, Serve runs it, and Shutdown ends it once the listener is closed. Each connection has
// one reader goroutine, which parses commands and submits requests. Each request has its own goroutine, which runs it
// up to its response. The reader does not wait for these goroutines. A goroutine that completes the response that is
// next in order also writes the completed responses that follow it. All these goroutines end with their connection. The
// server counts a connection as open until its reader has ended. The exception is an evicted connection, which the
// server stops counting at once, so Shutdown may return shortly before the reader of such a connection ends. Serve
// starts one more goroutine, which sweeps the connections and ends once Serve has returned and no connection is open.
//
// The methods of Server are safe for concurrent use, but Serve may be called only once.
//
// Locks are acquired in this order: Server.mu, connection.mu, connection.inputMu. Code that holds Server.mu acquires
// connection.mu only with TryLock: connection.mu is held while a response is written, and a client that does not read
// must not delay other clients. Code that holds connection.mu never acquires Server.mu.
//
// Each concern has its own file. Accepting: accept.go, connection_capacity.go, idle_eviction.go with eviction_rank.go.
// Connections: connection.go with the table of state transitions, reader.go and reader_buffer.go, command_timeout.go,
// invalid_command_pause.go, backpressure.go, client_gone.go, connection_error.go, connection_end.go. Commands:
// commands.go, parser.go, request.go with request_rewrite.go and request_usage.go, responses.go. Drain and shutdown:
// drain.go, drain_rejection.go, undrained_connections.go, shutdown.go.
package frontend
