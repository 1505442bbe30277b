package frontend

// clientDescriptorDivisor yields, from the descriptors of the process, how many validated connections may be open
// before idle ones are evicted for new ones: less than MaxConnections, unless that is small. If clients leave
// connections open and open a new one for each request, they would use up MaxConnections and no new connection could
// be accepted, so the rest is kept free for new ones. The cost: if clients keep more connections open and would have
// reused each, they have to open them again.
const clientDescriptorDivisor = 6

// evictionThreshold returns at how many validated connections idle ones are evicted for new ones. descriptors is how
// many the process may have open.
func evictionThreshold(descriptors, maxConnections int) int {
	return min(max(descriptors/clientDescriptorDivisor, 1), maxConnections)
}

// makeCapacity evicts idle connections until there is capacity for one more. If all are busy, it waits until one ends
// or becomes idle. It guards against more connections than the process has descriptors for, and against clients that
// leave theirs open and lock others out. The caller holds mu.
func (s *Server) makeCapacity() {
	for s.countValidated() >= s.evictionThreshold && s.evictIdle(validatedConnections) {
	}
	for len(s.connections) >= s.maxConnections {
		s.capacityWanted.Store(true) // before looking: connections that become idle from here on signal it
		if !s.evictIdle(allConnections) {
			s.capacityFreed.Wait()
		}
	}
	s.capacityWanted.Store(false)
}

// signalCapacity wakes an accept that waits for capacity, since a connection may have become idle. Without
// it, if all connections are busy when a new one arrives and then become idle for good, nobody would look at
// them again.
func (s *Server) signalCapacity() {
	if !s.capacityWanted.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacityFreed.Signal()
}

// removeConnection forgets a connection that has ended.
func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.capacityFreed.Signal()
}

// countValidated returns on how many connections the client has sent a valid command. The caller holds mu.
func (s *Server) countValidated() int {
	count := 0
	for c := range s.connections {
		if c.validated.Load() {
			count++
		}
	}
	return count
}
