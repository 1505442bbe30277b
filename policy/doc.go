// Package policy makes the decisions of one gateway instance: which requests are admitted under a tenant's quota, which
// backend an attempt is sent to, when another attempt follows, and what the client is answered when none succeeds.
//
// The package is a deterministic state machine. Its caller passes in each event with its time, and carries out the
// [Effects]. The package uses no clock, no goroutines and no I/O. Equal seeds and equal calls give equal effects.
//
//   - [New] creates an [Engine] from the [Settings], and [Engine.UpdateSettings] replaces them.
//   - [Engine.UpdateEndpoints] passes in the list of backends and its changes. Where lists are polled, the engine
//     requests the first one by [Effects].WatchEndpoints; where they are pushed, the caller starts the watch.
//   - [Engine.Submit] starts a request and returns its handle. [Request.HandleAttemptResult],
//     [Request.HandleResponseStarted] and [Request.HandleClientGone] are called on that handle until
//     [Request.Done] returns true.
//   - [Engine.HandleCounterResult], [Engine.HandleHealthCheck] and [Engine.HandleTimer] pass in answers of the
//     counter, outcomes of health checks and expired timers.
//
// The methods of an Engine and of its requests are not safe for concurrent use. They are called one at a time, with
// times that never decrease. Points in time are of type [Instant], durations of type [time.Duration]. Averaged
// latencies are kept as float64 nanoseconds.
//
// # From admission to answer
//
// Each request is counted on a counter that all instances share, and waits a short time for the answer. A circuit
// breaker stops the calls to a counter that fails. The [FallbackMode] of the request's class then decides on its
// admission: by this instance's local share of the quota, fail open or fail closed. An admitted request is sent to the
// first backend in rank order whose attempts in flight are below a soft limit. Only Request.sendAttempt sends attempts,
// and only Request.abortUnknownClassOrPlan, Request.giveUp, Request.continueAfterAttempt, Request.HandleClientGone and
// Request.finishCheckOnly finish a request.
//
// "Rule 1" to "rule 5" in comments are the rules that package internal/lab/invariants checks: exactly one final answer
// to a request (1), no second run of a request that must not run twice (2), no attempt at a backend that has drained
// (3), no overload of a backend that is warming up (4), and no admission beyond a hard quota (5). docs/design.md names
// the published designs that the package follows, and where it departs from them.
//
// # Files
//
// Each file answers one question. docs/decisions.md has the same table with inputs, constants and symptoms.
//
//	in which order is a request checked?               admission.go
//	does the tenant have units left?                   hard_quota.go, concurrency_limit.go, quota.go
//	when does a quota window start, with which total?  quota_window.go, plan.go
//	is the counter called, with how many units?        counter_call.go, breaker.go
//	which instance restores units the counter lost?    quota_reconciliation.go
//	how is a request decided without the counter?      fallback.go, local_share.go
//	is a request beyond the quota worth sending?       over_quota.go
//	how many attempts may be in flight?                capacity.go
//	which backend gets an attempt?                     selection.go
//	is an attempt at a backend allowed at all?         attempt.go
//	what does the end of an attempt change?            attempt_result.go
//	when is it retried, hedged or canceled?            retry.go, hedging.go
//	when may a rejected client retry?                  retry_after.go
//	how do clients that abandon requests matter?       abandonment.go
//	is the backend an outlier?                         outlier.go
//	how much may a backend get while warming up?       slow_start.go
//	which backends are there?                          endpoints.go
//	when is the endpoint list requested again?         endpoint_watch.go
//	what is measured, and how fast does it decay?      latency.go, baseline.go, throughput.go
//	what is imported from an earlier incarnation?      warm_start.go
//
// The other files hold the types shared with the caller (types.go, settings.go, effects.go), the state shared by
// several rules (engine.go, request.go, tenant.go, backend.go, class.go), the timers (timers.go) and the statistics
// (status.go).
package policy
