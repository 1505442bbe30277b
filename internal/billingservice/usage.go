package billingservice

import (
	"sync"
	"time"

	"fawnplank/internal/billing"
)

// usageKey is the key by which usage is summed.
type usageKey struct {
	tenant           string
	plan             string
	windowStartNanos int64 // unix ns
}

// unreportedUsage sums the usage that is in no report yet. It is safe for concurrent use, and its zero value
// is empty.
type unreportedUsage struct {
	mu    sync.Mutex
	units map[usageKey]billing.Units
}

// add adds units to a sum.
func (u *unreportedUsage) add(key usageKey, units billing.Units) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.units == nil {
		u.units = map[usageKey]billing.Units{}
	}
	u.units[key] += units
}

// take removes up to maxItems sums and returns them as the lines of a report. It returns nil if there are
// none.
func (u *unreportedUsage) take(maxItems int) []usageItem {
	var items []usageItem
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, units := range u.units {
		items = append(items, usageItem{
			Tenant:           key.tenant,
			Plan:             key.plan,
			WindowStartNanos: key.windowStartNanos,
			Units:            units,
		})
		delete(u.units, key)
		if len(items) == maxItems {
			break
		}
	}
	return items
}

// RecordUsage adds the units of a request that was received at a moment and has succeeded under a plan. It drops
// units that are out of range, without a log message or a count.
func (s *Service) RecordUsage(tenant, plan string, receivedAt time.Time, units float64) {
	count, err := billing.UnitsFromFloat(units)
	if err != nil {
		return
	}
	windowStartNanos := s.options.Settings().WindowStart(receivedAt.UnixNano())
	s.usage.add(usageKey{tenant: tenant, plan: plan, windowStartNanos: windowStartNanos}, count)
}
