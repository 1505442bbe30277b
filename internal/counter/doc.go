// Package counter is a client for the counter service, which adds units to counts that all instances share.
//
// A Client owns the connections to the service and the calls that wait for answers on them. For each key it
// delivers results to the ResultHandler in the order of the calls, one at a time, and never with the client's
// lock held, so that the handler may call the client again. The caller, not the client, decides whether to
// call, how long a result is worth waiting for, and what a total means. The client sends no call twice.
//
// All methods of Client are safe for concurrent use. Each connection has one goroutine, which connects, reads
// answers, and ends with the connection; Close ends all connections and waits for these goroutines.
//
//	which connection takes a call, and when is one given up?   connections.go
//	what is known of the calls on a lost connection?           connection.go
//	in which order are results delivered?                      results.go
//	how long has the service failed?                           stats.go
//	what goes over the wire?                                   format.go, text_format.go, resp_format.go
package counter
