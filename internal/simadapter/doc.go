// Package simadapter connects the policy engine to the operators' simulator. It reads batches of events in the
// encoding of internal/simwire, passes each event to the engine of the instance that the event names, and writes the
// engine's effects as the actions of one reply per batch. It only translates; every decision is the engine's.
//
// A host owns the instances of one call of Run; each instance owns its engine and its requests in flight. A host
// belongs to one goroutine. Separate calls of Run share no state and may run concurrently.
package simadapter
