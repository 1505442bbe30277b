// Package billingbench is a benchmark of billing. It measures the latency of the commands that reserve and commit
// units, the delay until abandoned reservations are released, and the time that billing adds to a request. Three
// replicas of the store, each with an instance of the billing service, run in this process on loopback. Clients send
// commands to a limit server in front of one instance. TLS, if enabled, protects the connections of clients and those
// between replicas.
//
// Measure owns everything that it starts and releases it before it returns. Calls should not run concurrently, because
// the load of one call would distort the results of another.
package billingbench
