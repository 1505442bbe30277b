package main

import (
	"runtime"
	"runtime/debug"

	"fawnplank/internal/admin"
	"fawnplank/internal/config"
	"fawnplank/internal/membudget"
)

const (
	// reservedDescriptors is reserved for the program itself, the listener, discovery, and the counter's connections,
	// both old and new. Nothing is reserved for what the operator file and the flags add: the connections to the
	// limits address (limits.connections, 64 if not set and 10,000 at most), and those of the store, the name server
	// and the export of usage. With them a process may open more descriptors than limits.sockets.
	reservedDescriptors = 48
	// connectionSides are the clients and the backends. Each side has half of the remaining descriptors, so that
	// neither starves the other.
	connectionSides = 2
	// uncollectedMemoryDivisor is the part of the memory limit, a quarter, that is left for memory that the garbage
	// collector does not see.
	uncollectedMemoryDivisor = 4
	// largeValueDivisor is the part of the memory limit, a sixth, that the large values of clients may hold; those
	// of backends may hold the same again. Data that waits for memory is not read in the meantime. Within the
	// three quarters that the collector keeps to, this leaves five twelfths for everything else.
	largeValueDivisor = 6
	// collectorHeapGrowthPercent makes the collector start at 2 MB and take a millisecond for the little memory in use. A
	// larger percentage lets the heap grow for minutes before the first collection, which looks like a leak
	// and holds memory that nothing needs.
	collectorHeapGrowthPercent = 50
	// maxProcessors is 1 because a gateway has one core; more threads would only alternate on it.
	maxProcessors = 1
)

// resourceLimits divides the memory and the descriptors that the process may use between its parts. It is a value
// and safe for concurrent use.
type resourceLimits struct {
	memoryBytes int64
	maxSockets  int
	management  bool // whether the management address is served
}

func newResourceLimits(configuration *config.Config) resourceLimits {
	return resourceLimits{
		memoryBytes: configuration.MemoryLimitBytes,
		maxSockets:  configuration.MaxSockets,
		management:  configuration.ManagementAddress != "",
	}
}

// limitRuntime applies the limits to Go's scheduler and garbage collector, for the whole process.
func (r resourceLimits) limitRuntime() {
	runtime.GOMAXPROCS(maxProcessors)
	debug.SetMemoryLimit(r.memoryBytes - r.memoryBytes/uncollectedMemoryDivisor)
	debug.SetGCPercent(collectorHeapGrowthPercent)
}

// managementCalls returns how many calls at the management address may be open at once.
func (r resourceLimits) managementCalls() int {
	if !r.management {
		return 0
	}
	return admin.ConnectionLimit(r.maxSockets)
}

// connectionsPerSide returns how many connections there may be to clients, and to backends again.
func (r resourceLimits) connectionsPerSide() int {
	return (r.maxSockets - reservedDescriptors - r.managementCalls()) / connectionSides
}

// newLargeValueBudget returns a budget that bounds the memory of large values. Clients and backends have one
// each, because a large command holds its memory until its response is written, and that response must not
// wait for the same budget.
func (r resourceLimits) newLargeValueBudget() *membudget.Budget {
	return membudget.New(r.memoryBytes / largeValueDivisor)
}
