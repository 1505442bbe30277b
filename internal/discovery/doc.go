// Package discovery tracks the list of backends, and maps their names to the ids that the engine uses.
//
// A Client owns the watch of the discovery service, or receives the lists from another source through
// Publish. For each update, it passes the addresses of backends to the AddressBook before it notifies the
// Subscriber, which may then send requests to them. The Client decides neither what an update means nor when
// to resume the watch after a failure. During an outage of the service, the last list remains valid.
//
// Reconfigure, Publish, WatchEndpoints and Close are safe for concurrent use; PublishCached must be called
// before them. Publish may be called only if Options.Refresh is set, because otherwise the watch runs. The watch
// is one goroutine, started by the first WatchEndpoints and ended by Close, which waits for it. The client's
// lock is held neither while the AddressBook or the Subscriber is notified nor during a call to the service, so
// WatchEndpoints may be called with the Subscriber's lock held.
//
//	end of the watch on a failure, full snapshots or changes   watch.go
//	timeouts of calls and dials                                poll.go
//	distinction of refusals from other failures                poll.go
//	validation of a list                                       list.go
//	order of notifications                                     publisher.go
//
// The delay before the next WatchEndpoints after a failure, and the durations of calls, are decided by package
// policy (endpoint_watch.go).
package discovery
