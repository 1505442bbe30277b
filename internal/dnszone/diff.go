package dnszone

// DiffBackends compares the served backends of two zones. It returns the new and changed backends, and the names
// of the removed ones.
func DiffBackends(old, next *Zone) (updated []Backend, removed []string) {
	var diff backendDiff
	next.backends.Scan(func(name string, _ Backend) bool {
		diff.compare(old, next, name)
		return true
	})
	old.backends.Scan(func(name string, _ Backend) bool {
		if _, ok := next.backends.Get(name); !ok {
			diff.compare(old, next, name)
		}
		return true
	})
	return diff.updated, diff.removed
}

// backendDiff collects the differences between the served backends of two zones.
type backendDiff struct {
	updated []Backend
	removed []string
}

// compare adds the named backend to the differences if the two zones differ in it.
func (d *backendDiff) compare(old, next *Zone, name string) {
	oldBackend, servedBefore := old.servedBackend(name)
	nextBackend, servedNext := next.servedBackend(name)
	switch {
	case servedNext && (!servedBefore || !oldBackend.equal(nextBackend)):
		d.updated = append(d.updated, nextBackend)
	case servedBefore && !servedNext:
		d.removed = append(d.removed, name)
	}
}
