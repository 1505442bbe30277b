package main

import (
	"runtime"
	"runtime/debug"

	"fawnplank/internal/admin"
	"fawnplank/internal/config"
	"fawnplank/internal/frontend"
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
	// manage, and minUncollectedMemory is the least of it: the pages of the program's file count as its memory.
	uncollectedMemoryDivisor = 4
	minUncollectedMemory     = 16 << 20
	// minCollectedMemoryDivisor is the part of a very small memory limit that the collector manages all the same.
	minCollectedMemoryDivisor = 4
	// largeCommandDivisor bounds the commands of clients to a quarter of the collected memory, but there is always
	// memory for one command of the largest size. Data is not read while it waits for memory.
	largeCommandDivisor = 4
	// largeResponseDivisor bounds the responses of backends to an eighth of the collected memory. Less suffices than
	// for commands, since a response is passed on while it arrives where there is no memory for all of it.
	largeResponseDivisor = 8
	// clientMemoryDivisor and backendMemoryDivisor bound what the connections to clients and to backends hold besides
	// commands and responses, to a quarter and an eighth of the collected memory. About a quarter remains for the rest.
	clientMemoryDivisor  = 4
	backendMemoryDivisor = 8
	// clientConnectionBytes is the memory of a connection to a client: a buffer, the stacks of its goroutines, its state.
	clientConnectionBytes = 12 << 10
	// backendConnectionBytes is the memory of a connection to a backend, with that of the request which it carries.
	backendConnectionBytes = 16 << 10
	// usedIDMemoryDivisor and usedIDBytes bound the ids of ended requests that are kept, to a part of the collected
	// memory at the size of such an id.
	usedIDMemoryDivisor = 64
	usedIDBytes         = 256
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

// collectedBytes returns the memory that the garbage collector may manage.
func (r resourceLimits) collectedBytes() int64 {
	uncollected := max(r.memoryBytes/uncollectedMemoryDivisor, minUncollectedMemory)
	return max(r.memoryBytes-uncollected, r.memoryBytes/minCollectedMemoryDivisor)
}

// limitRuntime applies the limits to the scheduler and the garbage collector of the Go runtime.
func (r resourceLimits) limitRuntime() {
	runtime.GOMAXPROCS(maxProcessors)
	debug.SetMemoryLimit(r.collectedBytes())
	debug.SetGCPercent(collectorHeapGrowthPercent)
}

// managementConnections returns the maximum number of open connections to the management address.
func (r resourceLimits) managementConnections() int {
	if !r.management {
		return 0
	}
	return admin.ConnectionLimit(r.maxSockets)
}

// maxClientConnections returns the maximum number of connections to clients.
func (r resourceLimits) maxClientConnections() int {
	return min(r.socketsPerSide(), int(r.collectedBytes()/clientMemoryDivisor/clientConnectionBytes))
}

// maxBackendConnections returns the maximum number of connections to backends.
func (r resourceLimits) maxBackendConnections() int {
	return min(r.socketsPerSide(), int(r.collectedBytes()/backendMemoryDivisor/backendConnectionBytes))
}

// socketsPerSide returns the number of descriptors for connections to clients, which is also that for connections to
// backends.
func (r resourceLimits) socketsPerSide() int {
	return (r.maxSockets - reservedDescriptors - r.managementConnections()) / connectionSides
}

// maxUsedRequestIDs returns how many ids of ended requests are kept at most.
func (r resourceLimits) maxUsedRequestIDs() int {
	return int(r.collectedBytes() / usedIDMemoryDivisor / usedIDBytes)
}

// newCommandBudget returns a budget for the memory of the clients' commands. It is separate from that of the responses,
// because a command holds its memory until its response is written.
func (r resourceLimits) newCommandBudget() *membudget.Budget {
	return membudget.New(max(r.collectedBytes()/largeCommandDivisor, frontend.MaxCommandBytes))
}

// newResponseBudget returns a budget for the memory of the backends' responses.
func (r resourceLimits) newResponseBudget() *membudget.Budget {
	return membudget.New(r.collectedBytes() / largeResponseDivisor)
}
