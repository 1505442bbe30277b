package billingservice

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"fawnplank/internal/billing"
)

// TenantPlan is the plan under which a tenant's requests are admitted now, where a change has set one. It is
// called for each request: a look into a map.
func (s *Service) TenantPlan(tenant string) (string, bool) {
	account, ok := (*s.plans.Load())[tenant]
	if !ok {
		return "", false
	}
	plan := account.PlanAt(s.options.Now().UnixNano())
	return plan, plan != ""
}

// KeysChanged is to be called with keys that have changed in the store: it takes over changes of plans. Its
// cost is that of the accounts named, not of all: each report that is committed changes some. Calls must not
// overlap.
func (s *Service) KeysChanged(keys []string) {
	plans := *s.plans.Load()
	copied := false
	for _, key := range keys {
		tenant, ok := strings.CutPrefix(key, accountPrefix)
		if !ok {
			continue
		}
		changes, ok := s.readChanges(key)
		if !ok || slices.Equal(changes, plans[tenant].Changes) {
			continue
		}
		if !copied {
			plans = maps.Clone(plans)
			copied = true
		}
		delete(plans, tenant)
		if len(changes) > 0 {
			plans[tenant] = billing.Account{Changes: changes}
		}
	}
	s.plans.Store(&plans)
}

// readChanges gives an account's plan changes: none where the account is gone, and not ok where it cannot be
// read.
func (s *Service) readChanges(key string) ([]billing.PlanChange, bool) {
	entry, found := s.options.Replica.ReadLocal(key)
	if !found {
		return nil, true
	}
	var account billing.Account
	if err := json.Unmarshal(entry.Value, &account); err != nil {
		return nil, false // an operation on it reports the fault
	}
	return account.Changes, true
}
