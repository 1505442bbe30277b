// Package policy holds every decision of one gateway instance: which requests are admitted under a tenant's
// quota, which backend an attempt goes to, when another attempt follows, and what the client gets when none
// succeeds.
//
// It is a pure state machine. Its caller hands in what happens, with the time, and carries out the [Effects];
// there is no clock, no goroutine and no I/O here. Equal seeds and equal calls give equal effects.
//
//   - [New] makes an [Engine] from the [Settings], and [Engine.UpdateSettings] replaces them.
//   - [Engine.UpdateEndpoints] feeds it the list of backends.
//   - [Engine.Submit] takes a request and returns its handle. [Request.HandleAttemptResult],
//     [Request.HandleResponseStarted] and [Request.HandleClientGone] are called on that handle until
//     [Request.Done].
//   - [Engine.HandleCounterResult], [Engine.HandleHealthCheck] and [Engine.HandleTimer] bring the answers of
//     the counter, of the health checks and of the clock.
//
// Calls of one Engine and of its requests come one at a time, in order of time: nothing here is safe for
// concurrent use. Times and durations are int64 nanoseconds.
//
// # From admission to answer
//
// Each request is counted on a counter that all instances share, under a short wait. A breaker stops the
// calls to a counter that fails, and the request's class then decides by its [FallbackMode]: by this
// instance's local share of the quota, fail open or fail closed. What is admitted goes to the first backend
// of a ranked order that is below its concurrency limit. Only Request.sendAttempt sends, and only
// Request.abortUnknown, Request.giveUp, Request.HandleAttemptResult, Request.HandleClientGone and
// Request.forward finish a request.
//
// Comments that say "rule 1" to "rule 5" mean the rules that package internal/lab/invariants checks: one
// final answer (1), nothing that must not runs twice (2), no attempt to a backend that has drained (3), no
// overload of a backend that warms up (4), and no admission beyond a hard quota (5).
//
// Comments that say "the post" mean the article that the design follows, "Fail open or fail closed? What your
// rate limiter does when Redis dies" (ReqKey); docs/design.md says where the design departs from it.
//
// # Files
//
// The files that hold decisions and tuned values are listed under "policy" in deploy/balancer.toml. The
// others hold the types shared with the caller (types.go, settings.go, effects.go), what the decisions
// remember (state.go, tenant.go, request.go, backend.go, pending_calls.go), the timers (timers.go) and the
// statistics (status.go).
package policy
