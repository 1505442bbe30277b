// Package policy holds every decision of one gateway instance: which requests are admitted under a tenant's
// quota, which backend an attempt goes to, when another attempt follows, and what the client gets when none
// succeeds.
//
// It is a pure state machine. Its caller hands in what happens, with the time, and carries out the [Effects];
// there is no clock, no goroutine and no I/O here. Equal seeds and equal calls give equal effects.
//
//   - [New] makes an [Engine] from the [Settings], and [Engine.UpdateSettings] replaces them.
//   - [Engine.UpdateEndpoints] feeds it the list of backends. Where lists are polled the engine asks for the first
//     one by [Effects].WatchEndpoints; where they are pushed, the caller starts the watch.
//   - [Engine.Submit] takes a request and returns its handle. [Request.HandleAttemptResult],
//     [Request.HandleResponseStarted] and [Request.HandleClientGone] are called on that handle until
//     [Request.Done].
//   - [Engine.HandleCounterResult], [Engine.HandleHealthCheck] and [Engine.HandleTimer] bring the answers of
//     the counter, of the health checks and of the clock.
//
// Calls of one Engine and of its requests come one at a time, in order of time: nothing here is safe for
// concurrent use. A moment is an [Instant], a span a [time.Duration]. Inside, latencies that are averaged are
// float64 nanoseconds.
//
// # From admission to answer
//
// Each request is counted on a counter that all instances share, under a short wait. A breaker stops the
// calls to a counter that fails, and the request's class then decides by its [FallbackMode]: by this
// instance's local share of the quota, fail open or fail closed. What is admitted goes to the first backend
// of a ranked order that is below its concurrency limit. Only Request.sendAttempt sends, and only
// Request.abortUnknownClassOrPlan, Request.giveUp, Request.continueAfterAttempt, Request.HandleClientGone and
// Request.finishCheckOnly finish a request.
//
// Comments that say "rule 1" to "rule 5" mean the rules that package internal/lab/invariants checks: one
// final answer (1), no request that must not runs twice (2), no attempt to a backend that has drained (3), no
// overload of a backend that warms up (4), and no admission beyond a hard quota (5). docs/design.md says which
// published design the package follows, and where it departs from it.
//
// # Files
//
// One file answers one question. docs/decisions.md has the same table with inputs, constants and symptoms.
//
//	in which order is a request checked?               admission.go
//	has the tenant units left?                         hard_quota.go, concurrency_limit.go, quota.go
//	when does a quota's window begin, with what?       quota_window.go, plan.go
//	is the counter called, with how many units?        counter_call.go, breaker.go
//	who writes back units that the counter lost?       quota_reconciliation.go
//	and without the counter?                           fallback.go, local_share.go
//	is a request beyond the quota worth sending?       over_quota.go
//	how much may be in flight?                         capacity.go
//	which backend?                                     selection.go
//	may an attempt go there at all?                    attempt.go
//	what does an attempt's end change?                 attempt_result.go
//	is it retried, hedged, canceled?                   retry.go, hedging.go
//	when may the client come back?                     retry_after.go
//	what do clients that leave early change?           abandonment.go
//	is the backend an outlier?                         outlier.go
//	how much may a warming backend get?                slow_start.go
//	which backends are there?                          endpoints.go
//	when is the endpoint list asked for again?         endpoint_watch.go
//	what is measured, and how fast is it forgotten?    latency.go, baseline.go, throughput.go
//	what counts of an earlier incarnation?             warm_start.go
//
// The other files hold the types shared with the caller (types.go, settings.go, effects.go), the state that
// several rules share (engine.go, request.go, tenant.go, backend.go, class.go), the timers (timers.go) and the
// statistics (status.go).
package policy
