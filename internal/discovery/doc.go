// Package discovery follows the list of backends, and turns their names into the ids that the engine knows.
//
// A Client owns the watch of the discovery service, or takes the lists from another source by Publish. It
// publishes each update: it notifies the AddressBook of where backends listen before the Subscriber may send
// anything there. It never decides what an update means, nor when to watch again after a failure, and through
// an outage the last list stands.
//
// SetAddress, Publish and WatchEndpoints are safe for concurrent use; LoadSnapshot comes before them. The
// watch is one goroutine, started by the first WatchEndpoints. It lasts as long as the process: a client has
// no Close.
package discovery
