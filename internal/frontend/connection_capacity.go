package frontend

// clientDescriptorDivisor divides the number of descriptors of the process to give the number of validated connections
// from which on idle ones are evicted for new ones. A validated connection is one whose client has sent a valid
// command. The result is less than MaxConnections, unless that is small. The rest of MaxConnections is reserved for new
// connections: clients that leave connections open and open a new one for each request would otherwise use up
// MaxConnections, and no new connection could be accepted. The cost is that clients that keep more connections open and
// would have reused them have to reconnect.
const clientDescriptorDivisor = 6

// evictionThreshold returns the number of validated connections from which on idle ones are evicted for new ones.
// descriptors is how many descriptors the process may have open.
func evictionThreshold(descriptors, maxConnections int) int {
	return min(max(descriptors/clientDescriptorDivisor, 1), maxConnections)
}

// makeConnectionCapacity evicts idle connections until there is capacity for one more. If all connections are busy, it
// waits until one ends or becomes idle. It keeps the number of connections within the descriptors of the process, and
// prevents clients that leave their connections open from locking out others. The caller holds mu.
func (s *Server) makeConnectionCapacity() {
	for s.countValidated() >= s.evictionThreshold && s.evictIdle(validatedConnections) {
	}
	for len(s.connections) >= s.maxConnections {
		s.connectionCapacityWanted.Store(true) // set before the search: connections that become idle from now on signal it
		if !s.evictIdle(allConnections) {
			s.connectionCapacityFreed.Wait()
		}
	}
	s.connectionCapacityWanted.Store(false)
}

// signalConnectionCapacity wakes an accept that waits for capacity, since a connection may have become idle. Without
// it, an accept that found all connections busy would wait until one ends, even after all of them have become idle.
func (s *Server) signalConnectionCapacity() {
	if !s.connectionCapacityWanted.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectionCapacityFreed.Signal()
}

// removeConnection removes a connection that has ended, and wakes an accept that waits for capacity.
func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.connectionCapacityFreed.Signal()
}

// countValidated returns the number of validated connections. The caller holds mu.
func (s *Server) countValidated() int {
	count := 0
	for c := range s.connections {
		if c.validated.Load() {
			count++
		}
	}
	return count
}
