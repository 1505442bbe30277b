package billingservice

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"fawnplank/internal/billing"
)

// TenantPlan returns the plan in force for a tenant, if a plan change has set one. It is called for each request and
// costs one map lookup.
func (s *Service) TenantPlan(tenant string) (string, bool) {
	changes, ok := (*s.planChanges.Load())[tenant]
	if !ok {
		return "", false
	}
	account := billing.Account{PlanChanges: changes}
	plan := account.PlanAt(s.options.Now().UnixNano())
	return plan, plan != ""
}

// KeysChanged must be called with the keys that have changed in the store. It updates the plan changes that TenantPlan
// uses. It reads only the accounts among the keys, not all accounts, because each added report changes some accounts.
// Calls must not overlap.
func (s *Service) KeysChanged(keys []string) {
	planChanges := *s.planChanges.Load()
	copied := false
	for _, key := range keys {
		tenant, ok := strings.CutPrefix(key, accountPrefix)
		if !ok {
			continue
		}
		changes, ok := s.readChanges(key)
		if !ok || slices.Equal(changes, planChanges[tenant]) {
			continue
		}
		if !copied {
			planChanges = maps.Clone(planChanges)
			copied = true
		}
		delete(planChanges, tenant)
		if len(changes) > 0 {
			planChanges[tenant] = changes
		}
	}
	s.planChanges.Store(&planChanges)
}

// readChanges returns an account's plan changes. There are none if the account does not exist. The second result is
// false if the account cannot be decoded.
func (s *Service) readChanges(key string) ([]billing.PlanChange, bool) {
	entry, found := s.options.Replica.ReadLocal(key)
	if !found {
		return nil, true
	}
	var account billing.Account
	if err := json.Unmarshal(entry.Value, &account); err != nil {
		return nil, false // operations on the account report the error
	}
	return account.PlanChanges, true
}
