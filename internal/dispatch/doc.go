// Package dispatch drives policy.Engine, which is a pure state machine, in real time: it passes requests to
// the engine, carries out the effects that the engine asks for, and reports their results.
//
// A Dispatcher owns the lock around the engine, the clock, the timers, and the requests in flight; nothing
// else calls the engine or sees its effects. It makes no decisions of its own, and it never waits for the
// network while it holds the lock: Counter.Add, EndpointWatcher.WatchEndpoints, HealthChecker.CheckHealth and
// AttemptConn.Abandon must not block. Counter.Flush may wait for the network. Flush and CheckHealth are called
// after the lock is released.
//
// A request goes through these stages: Submit passes it to the engine. Its owner calls NextStep until a step
// is final. A step with the action Send carries an Attempt, which the owner passes to the connections to the
// backends. The connection calls Attempt.Start to learn whether the attempt may still be written, and Report to
// deliver its result, which may lead to further steps.
//
// All exported methods of Dispatcher, Request and Attempt are safe for concurrent use, with these exceptions:
// Dispatcher.Start comes first (only Stop may come before it) and Stop last, NextStep allows one caller at a time per
// request, and Attempt.Start is called once per attempt.
package dispatch
