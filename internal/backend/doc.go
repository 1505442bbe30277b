// Package backend carries attempts to the backends. It owns the connections to them, idle and in use, reports
// how each attempt ended or how far it came, and runs the health checks. It never decides where an attempt
// goes, never sends one again, and never goes on with one that was canceled.
//
// A Pool holds the connections; all its methods may be called concurrently. One lock, the Pool's, guards the
// endpoints and the state of every connection. It is held over no call that may wait and never while an
// attempt reports: the dispatcher's lock is taken first where both are held (conn.Abandon is called under
// it), so that no report may be made under the Pool's.
//
// Three kinds of goroutines run. Each connection has a reader, from when it comes up until it ends, which
// closes it. An attempt is written by the goroutine that calls Send where a connection is idle, else by one
// of its own that dials first. Each health check has its own. All are bounded by the Pool's timeouts or end
// with their connection; the Pool lives as long as the process and has no Close.
package backend
