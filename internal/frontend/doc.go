// Package frontend serves clients. It owns the listener's connections, the clients' input and the order of
// responses on each connection: it parses commands in place, submits requests to the dispatcher, and carries
// out the steps that the dispatcher picks. It never decides what becomes of a request, never leaves a
// submitted request without its one response, and never submits one whose head is not in order.
//
// A Server is made by New, serves with Serve, and ends with Close, called until Connections is 0. Each
// connection has one reader goroutine, which parses and submits, and each request has one goroutine of its
// own, which runs it up to its response; the reader waits for neither, and responses are written by whichever
// goroutine completes the first of those that are due. All of them end with their connection, which the
// server counts until its reader has ended.
//
// The methods of Server are safe for concurrent use, but Serve may run only once.
//
// Locks are taken in this order: connection.mu, then connection.inputMu. Server.mu comes before both, but
// under it connection.mu is only tried: connection.mu is held while a response is written, and a client that
// takes nothing in must not hold up the others. Nothing that holds connection.mu takes Server.mu.
package frontend
