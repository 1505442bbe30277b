// Package dispatch drives policy.Engine, which is a pure state machine, in real time: it hands requests to
// the engine, carries out the effects that the engine asks for, and reports what came of them.
//
// A Dispatcher owns the lock round the engine, the clock, the timers, and the requests in flight; nothing
// else calls the engine or sees its effects. It never decides anything itself, and it never waits for the
// network while it holds the lock: the Counter, the HealthChecker, the EndpointWatcher and AttemptConn must
// not block, and what may reach the network at once (flushing the counter's calls, health checks) is done
// after the lock is released.
//
// The life of a request: Submit hands it to the engine. Its owner calls NextStep until a step is final. A
// step with the action Send carries an Attempt, which its owner passes to the connections to the backends;
// there Begin says whether it may still be written, and Report brings its result, which may lead to further
// steps.
//
// All exported methods of Dispatcher, Request and Attempt are safe for concurrent use, but for Start, which
// comes first, Stop, which comes last, and NextStep and Begin, which have one caller at a time for a request
// or an attempt.
package dispatch
