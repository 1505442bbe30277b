package dnszone

// isServed reports whether a backend has the served priority (RFC 2782). The other backends are on standby.
func (z *Zone) isServed(backend Backend) bool { return backend.Priority == z.servedPriority }

// priorityCount holds the numbers of backends with one SRV priority.
type priorityCount struct {
	available int // backends that are not draining
	total     int
}

// adjustPriorityCount adds delta to the counts of the backend's priority. delta is 1 when the backend is added and
// -1 when it is removed.
func (z *Zone) adjustPriorityCount(backend Backend, delta int) {
	if z.priorityCounts == nil {
		z.priorityCounts = map[uint16]priorityCount{}
	}
	count := z.priorityCounts[backend.Priority]
	count.total += delta
	if !backend.Draining {
		count.available += delta
	}
	if count.total == 0 {
		delete(z.priorityCounts, backend.Priority)
		return
	}
	z.priorityCounts[backend.Priority] = count
}

// selectPriority selects the served priority: the lowest one with a backend that is not draining, or the lowest of
// all if every backend is draining. In a zone without backends, the served priority stays unchanged.
func (z *Zone) selectPriority() {
	selected := false
	for priority := range z.priorityCounts {
		if !selected || z.isPreferred(priority, z.servedPriority) {
			z.servedPriority = priority
			selected = true
		}
	}
}

// isPreferred reports whether priority a is preferred to priority b as the served priority.
func (z *Zone) isPreferred(a, b uint16) bool {
	aAvailable := z.priorityCounts[a].available > 0
	bAvailable := z.priorityCounts[b].available > 0
	if aAvailable != bAvailable {
		return aAvailable
	}
	return a < b
}
