// Package billingbench measures the costs of billing: the latency and rate of commands that reserve and commit
// units, the delay until units of abandoned reservations are released, and the time that billing adds to a request.
// Three replicas of the store, each with an instance of the billing service, run in this process on loopback.
// Clients send commands to a limit server at one of the replicas. All connections use TLS, or none does.
//
// Measure stops everything that it has started before it returns. Calls should not run concurrently, because they
// would slow down each other.
package billingbench
