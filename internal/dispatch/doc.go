// Package dispatch drives policy.Engine, which is a pure state machine, in real time: it passes requests to
// the engine, carries out the effects that the engine requests, and reports their results.
//
// A Dispatcher owns the lock around the engine, the clock, the timers, and the requests in flight; nothing
// else calls the engine or carries out its effects. It makes no decisions of its own, and it never waits for the
// network while it holds the lock: Counter.Add, EndpointWatcher.WatchEndpoints, HealthChecker.CheckHealth and
// AttemptConn.Abandon must not block. Counter.Flush may wait for the network. Flush and CheckHealth are called
// after the lock is released.
//
// A request goes through these stages: Submit passes it to the engine. The caller of Submit, which owns the
// request, calls NextStep until a step is final. A step with the action Send carries an Attempt, which the owner
// passes to the connections to the backends. The connection calls Attempt.Start to find out whether the attempt
// may still be written, and Attempt.Report to deliver its result, which may lead to further steps.
//
// All exported methods of Dispatcher, Request and Attempt are safe for concurrent use, with these restrictions:
// Dispatcher.Start is called before all other methods except Dispatcher.Stop, and Dispatcher.Stop last; a request's
// NextStep has one caller at a time; and Attempt.Start is called at most once per attempt.
package dispatch
