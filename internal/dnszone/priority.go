package dnszone

// serves reports whether a backend is in the list. Only the backends of the served priority are (RFC 2782); the
// others are on standby.
func (z *Zone) serves(backend Backend) bool { return backend.Priority == z.servedPriority }

// priorityCount counts the backends of one SRV priority.
type priorityCount struct {
	available int // backends that are not draining
	total     int
}

// addToPriority adds delta to the number of backends with the priority of the given one.
func (z *Zone) addToPriority(backend Backend, delta int) {
	if z.priorities == nil {
		z.priorities = map[uint16]priorityCount{}
	}
	count := z.priorities[backend.Priority]
	count.total += delta
	if !backend.Draining {
		count.available += delta
	}
	if count.total == 0 {
		delete(z.priorities, backend.Priority)
		return
	}
	z.priorities[backend.Priority] = count
}

// selectPriority selects the priority to serve. This is the lowest priority with a backend that is not
// draining, or the lowest of all if every backend is draining. Without any backend, it does not change.
func (z *Zone) selectPriority() {
	selected := false
	for priority := range z.priorities {
		if !selected || z.isPreferred(priority, z.servedPriority) {
			z.servedPriority = priority
			selected = true
		}
	}
}

// isPreferred reports whether priority a is served rather than b.
func (z *Zone) isPreferred(a, b uint16) bool {
	aAvailable := z.priorities[a].available > 0
	bAvailable := z.priorities[b].available > 0
	if aAvailable != bAvailable {
		return aAvailable
	}
	return a < b
}
