// Package discovery tracks the list of backends, and maps their names to the ids that the engine uses.
//
// A Client owns the watch of the discovery service, or receives the lists from another source through
// Publish. It publishes each update: it notifies the AddressBook of where backends listen before it notifies
// the Subscriber, which may then send requests there. It decides neither what an update means nor when to
// watch again after a failure. During an outage the last list remains valid.
//
// Reconfigure, Publish, WatchEndpoints and Close are safe for concurrent use; PublishCached must be called
// before them. Publish may be called only with Options.Refresh, without which the watch runs. The watch is one
// goroutine, started by the first WatchEndpoints and ended by Close, which waits for it. The client's lock is
// held neither while the AddressBook or the Subscriber is notified nor during a call to the service, so
// WatchEndpoints may be called with the Subscriber's lock held.
//
//	when does the watch stop, and what does it ask for next?   watch.go
//	how long may a call and its connection take?               poll.go
//	which answers are refusals, which are failures?            poll.go
//	what is a valid list?                                      list.go
//	in which order is an update made known?                    publisher.go
//
// The delay before the next WatchEndpoints after a failure, and the durations of calls, are decided by package
// policy (endpoint_watch.go).
package discovery
