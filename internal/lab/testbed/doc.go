// Package testbed plays a scenario on sockets: it starts the emulated counter, discovery and backends in this
// process and the real gateways as processes of their own, lets the load tool send the scenario's requests,
// kills and restarts gateways where the scenario says so, and returns the results. All addresses are on
// loopback.
//
// Run owns everything that it starts: when it returns, each process has ended, each goroutine has returned
// and the folder of configurations, keys and journals is removed. Concurrent runs do not disturb each other's
// addresses, only each other's timing.
package testbed
