package billingservice

import (
	"math/bits"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
)

// usageKey identifies the usage of a tenant under a plan in a window.
type usageKey struct {
	tenant           string
	plan             string
	windowStartNanos int64 // unix ns
}

// unreportedUsage sums the usage that is not in a report yet. It is safe for concurrent use. Its zero value is empty.
type unreportedUsage struct {
	mu    sync.Mutex
	units map[usageKey]billing.MicroUnits
}

// add adds units to the sum of a key.
func (u *unreportedUsage) add(key usageKey, units billing.MicroUnits) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.units == nil {
		u.units = map[usageKey]billing.MicroUnits{}
	}
	u.units[key] += units
}

// takeItems removes up to maxItems sums and returns them as the items of a report. It returns nil if there are none.
func (u *unreportedUsage) takeItems(maxItems int) []usageItem {
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

// RecordUsage adds the units of a request that was received at the given time and has succeeded under the given plan.
// It drops and logs units that are out of range.
func (s *Service) RecordUsage(tenant, plan string, receivedAt time.Time, units float64) {
	microUnits, err := billing.MicroUnitsFromFloat(units)
	if err != nil {
		s.logDroppedUsage(tenant, plan, err)
		return
	}
	windowStartNanos := s.options.Settings().WindowStart(receivedAt.UnixNano())
	s.usage.add(usageKey{tenant: tenant, plan: plan, windowStartNanos: windowStartNanos}, microUnits)
}

// logDroppedUsage counts a request whose units are not billed. It logs only the first one and each time that the count
// has doubled, because the same fault may occur on every request.
func (s *Service) logDroppedUsage(tenant, plan string, err error) {
	dropped := s.droppedRequests.Add(1)
	if bits.OnesCount64(dropped) != 1 {
		return
	}
	logging.For(logComponent).WithError(err).WithFields(logrus.Fields{
		"tenant":  tenant,
		"plan":    plan,
		"dropped": dropped,
	}).Error("usage dropped")
}
