// Package counter is a client for the counter service, which adds units to counts that all instances share.
//
// A Client owns the connections to the service and the calls that wait for answers on them. For each key it
// delivers results to the ResultHandler in the order of the calls, one at a time, and never with the client's
// lock held, so that the handler may call the client again. The caller decides whether to make a call, how long
// to wait for its result, and how to interpret a total. The client never sends a call twice.
//
// All methods of Client are safe for concurrent use. Each connection has one goroutine, which connects, reads
// answers, and ends with the connection; Close ends all connections and waits for these goroutines.
//
//	choice of the connection for a call, answer timeout   connections.go
//	reading and writing, results after a lost connection  connection.go
//	order in which results are delivered                  results.go
//	counts of results, duration of an outage              stats.go
//	wire formats                                          format.go, text_format.go, resp_format.go
package counter
