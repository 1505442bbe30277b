package billingservice

import (
	"math/bits"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
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
	units map[usageKey]billing.MicroUnits
}

// add adds units to a sum.
func (u *unreportedUsage) add(key usageKey, units billing.MicroUnits) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.units == nil {
		u.units = map[usageKey]billing.MicroUnits{}
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
			MicroUnits:       units,
		})
		delete(u.units, key)
		if len(items) == maxItems {
			break
		}
	}
	return items
}

// RecordUsage adds the units of a request that was received at a moment and has succeeded under a plan. It drops
// units that are out of range, which is logged.
func (s *Service) RecordUsage(tenant, plan string, receivedAt time.Time, units float64) {
	count, err := billing.MicroUnitsFromFloat(units)
	if err != nil {
		s.logDropped(tenant, plan, err)
		return
	}
	windowStartNanos := s.options.Settings().WindowStart(receivedAt.UnixNano())
	s.usage.add(usageKey{tenant: tenant, plan: plan, windowStartNanos: windowStartNanos}, count)
}

// logDropped logs that a request's units are not billed: the first time, and whenever their number has doubled, since
// the fault may come with every request.
func (s *Service) logDropped(tenant, plan string, err error) {
	dropped := s.usageDropped.Add(1)
	if bits.OnesCount64(dropped) != 1 {
		return
	}
	logging.For(logComponent).WithError(err).WithFields(logrus.Fields{
		"tenant":  tenant,
		"plan":    plan,
		"dropped": dropped,
	}).Error("usage dropped")
}
