// Package billingbench measures what billing costs: the commands that reserve and commit, the release of
// abandoned reservations, and the time that billing adds to a request. Three replicas of the store, each with
// an instance of the billing service, run in this process on loopback. Clients send the limit server's
// commands to one of them, with or without TLS between all of them.
//
// Measure owns everything that it starts and frees it before it returns. It should run alone: concurrent
// calls would measure each other.
package billingbench
