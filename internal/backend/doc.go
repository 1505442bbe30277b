// Package backend sends attempts to the backends. It owns the connections to them, idle and in use, reports
// how each attempt ended or how far it got, and runs the health checks. It never decides where an attempt
// goes, never sends an attempt again, and never continues one that was canceled.
//
// A Pool holds the connections; all its methods are safe for concurrent use. One lock, the Pool's, guards the
// endpoints and the state of every connection. It is never held during a call that may wait, nor while an
// attempt reports its result: if both locks are held, the dispatcher's is taken first (conn.Abandon is called
// with it held), so no report may be made with the Pool's lock held.
//
// Three kinds of goroutines run. Each connection has a reader, which runs from when the connection is
// established until it ends, and closes it. An attempt is written by the goroutine that calls Send if a
// connection is idle, otherwise by its own goroutine, which dials first. Each health check has its own
// goroutine. All are bounded by the Pool's timeouts or end with their connection. Close ends the readers of
// idle connections, the dials and the health checks, and waits for them. A connection in use ends with its
// attempt.
//
// Each concern has a file: endpoints.go (where a backend listens), idle_pool.go (which connection an attempt gets),
// dial.go, connection.go (the state table of a connection), attempt_writer.go, response_reader.go with
// response_parser.go and response_buffer.go, abandonment.go (attempts that are given up), health_check.go.
package backend
