package main

import (
	"runtime"
	"runtime/debug"

	"fawnplank/internal/admin"
	"fawnplank/internal/config"
	"fawnplank/internal/membudget"
)

const (
	// reservedDescriptors are reserved for the program itself, the listener, discovery, and the connections to the
	// counter, of which an old and a new one may exist at once. No descriptors are reserved for the features that the
	// operator file and the flags enable: connections to the limits address (limits.connections, 64 if not set and
	// 10,000 at most), the store, the name server and the export of usage. With these a process may open more
	// descriptors than limits.sockets.
	reservedDescriptors = 48
	// connectionSides is the number of sides, clients and backends, that share the remaining descriptors equally, so
	// that neither side starves the other.
	connectionSides = 2
	// uncollectedMemoryDivisor leaves a quarter of the memory limit for memory that the garbage collector does not
	// manage.
	uncollectedMemoryDivisor = 4
	// largeValueDivisor bounds the large values of clients to a sixth of the memory limit, and those of backends to
	// another sixth. Data is not read while it waits for memory. Of the three quarters that the collector may use,
	// five twelfths of the limit remain for everything else.
	largeValueDivisor = 6
	// collectorHeapGrowthPercent makes collections start at a heap of 2 MB; a collection takes about a millisecond
	// because little memory is in use. With a larger percentage the heap grows for minutes before the first
	// collection, which resembles a leak and occupies memory that nothing uses.
	collectorHeapGrowthPercent = 50
	// maxProcessors is 1 because a gateway has one core; more threads would only compete for it.
	maxProcessors = 1
)

// resourceLimits divides the memory and the file descriptors of the process between its parts. It is immutable and safe
// for concurrent use.
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

// limitRuntime applies the limits to the scheduler and the garbage collector of the Go runtime.
func (r resourceLimits) limitRuntime() {
	runtime.GOMAXPROCS(maxProcessors)
	debug.SetMemoryLimit(r.memoryBytes - r.memoryBytes/uncollectedMemoryDivisor)
	debug.SetGCPercent(collectorHeapGrowthPercent)
}

// managementConnections returns the maximum number of open connections to the management address.
func (r resourceLimits) managementConnections() int {
	if !r.management {
		return 0
	}
	return admin.ConnectionLimit(r.maxSockets)
}

// connectionsPerSide returns the maximum number of connections to clients, which is also the maximum to backends.
func (r resourceLimits) connectionsPerSide() int {
	return (r.maxSockets - reservedDescriptors - r.managementConnections()) / connectionSides
}

// newLargeValueBudget returns a budget for the memory of large values. Clients and backends have separate budgets,
// because a large command holds its memory until its response is written, and that response must not wait for the same
// budget.
func (r resourceLimits) newLargeValueBudget() *membudget.Budget {
	return membudget.New(r.memoryBytes / largeValueDivisor)
}
