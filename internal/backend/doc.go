// Package backend sends attempts to the backends. It owns the connections to them, idle and in use, reports how each
// attempt ended or at which stage it failed, and runs the health checks. It never decides which backend an attempt
// is sent to, never sends an attempt again, and never continues one that was canceled.
//
// A Pool holds the connections; all its methods are safe for concurrent use. One lock, the Pool's, guards the
// endpoints and the state of every connection. It is never held during a call that may block, nor while the result
// of an attempt is reported: if both locks are held, the dispatcher's is taken first (conn.Abandon is called with it
// held), so no result may be reported with the Pool's lock held.
//
// There are three kinds of goroutines. Each connection has a reader, which runs from when the connection is
// established until it ends, and closes it. An attempt is written by the goroutine that calls Send if a
// connection is idle, otherwise by its own goroutine, which dials first. Each health check has its own
// goroutine. The Pool's timeouts bound all of them, or they end with their connection. Close ends the readers of
// idle connections, the dials and the health checks, and waits for them. A connection in use ends with its
// attempt.
//
// The files are: endpoints.go (the addresses of backends), idle_pool.go (the choice of a connection for an attempt),
// dial.go, connection.go (the state table of a connection), attempt_writer.go, response_reader.go with
// response_parser.go and response_buffer.go, abandonment.go (abandoned attempts), health_check.go, idle_stats.go
// (after which idle time connections are lost) and shortage.go (failures for lack of local resources).
package backend
