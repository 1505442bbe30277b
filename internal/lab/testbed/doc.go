// Package testbed plays a scenario on sockets: it starts the emulated counter, discovery and backends in this process
// and each real gateway in a process of its own, sends the scenario's requests with the load tool, kills and restarts
// gateways according to the scenario, and returns the results. All addresses are on loopback.
//
// Run owns everything that it starts: when it returns, each process has exited, each goroutine has returned, and the
// folder of configurations, keys and journals is removed. Concurrent runs use different addresses, but affect each
// other's timing.
package testbed
