package dnszone

// DiffBackends compares two lists. It returns the new and changed backends, and the names of the removed ones.
func DiffBackends(old, next *Zone) (updated []Backend, removed []string) {
	var diff listDiff
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

// listDiff collects the differences between two lists.
type listDiff struct {
	updated []Backend
	removed []string
}

// compare adds the difference in one backend, if there is one.
func (d *listDiff) compare(old, next *Zone, name string) {
	was, listedBefore := old.listed(name)
	is, listedNow := next.listed(name)
	switch {
	case listedNow && (!listedBefore || !was.equal(is)):
		d.updated = append(d.updated, is)
	case listedBefore && !listedNow:
		d.removed = append(d.removed, name)
	}
}
