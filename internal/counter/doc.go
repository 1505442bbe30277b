// Package counter is the client of the counter service, which adds to numbers that all instances share.
//
// A Client owns the connections to the service and the calls that wait there for their answers. Results are
// delivered to the ResultHandler in the order of the calls for each key, one at a time, and never with the
// client's lock held, so that the handler may call the client again. The client decides neither whether to
// call, nor how long a result is worth waiting for, nor what a total means: that is up to its caller.
//
// All methods of Client are safe for concurrent use. A connection's goroutine ends with the connection; a
// client lasts as long as the process, and has no Close.
package counter
