// Package simadapter connects the engine to the operators' simulator. It reads batches of events in the form
// of internal/simwire, passes each to the engine of the instance that it concerns, and writes the engine's
// effects as one reply per batch. It translates and decides nothing.
//
// A host owns the instances of a process; each instance owns its engine and its requests in flight. One
// goroutine runs a host. Separate calls of Run share nothing and are safe at once.
package simadapter
