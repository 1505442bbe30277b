package billingservice

import (
	"encoding/json"
	"fmt"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// readLocalAccount reads an account as this replica has it; see decodeAccount.
func (s *Service) readLocalAccount(tenant string) (billing.Account, kv.Index, error) {
	entry, found := s.options.Replica.ReadLocal(accountPrefix + tenant)
	return decodeAccount(tenant, entry, found)
}

// readAccountFromLeader reads an account from the leader, which has everything that is committed; see
// decodeAccount.
func (s *Service) readAccountFromLeader(tenant string) (billing.Account, kv.Index, error) {
	entry, found, err := s.options.Replica.ReadFromLeader(accountPrefix + tenant)
	if err != nil {
		return billing.Account{}, 0, err
	}
	return decodeAccount(tenant, entry, found)
}

// decodeAccount returns the account in a tenant's entry, which is an empty one if there is no entry, and its
// index. A write that names this index is committed only if nothing else was written in between.
func decodeAccount(tenant string, entry kv.Entry, found bool) (billing.Account, kv.Index, error) {
	if !found {
		return billing.Account{Tenant: tenant}, 0, nil
	}
	var account billing.Account
	if err := json.Unmarshal(entry.Value, &account); err != nil {
		return account, 0, fmt.Errorf("account of %s: %w", tenant, err)
	}
	return account, entry.Index, nil
}

// writeAccount writes an account, if it still has the given index.
func (s *Service) writeAccount(account billing.Account, index kv.Index) error {
	edit, err := editAccount(account, index)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit([]kv.Edit{edit})
}

// editAccount returns the edit that writes an account, or that deletes an empty one.
func editAccount(account billing.Account, index kv.Index) (kv.Edit, error) {
	edit := kv.Edit{Key: accountPrefix + account.Tenant, Conditional: true, ExpectedIndex: index}
	if account.IsEmpty() {
		return edit, nil
	}
	value, err := json.Marshal(account)
	edit.Value = value
	return edit, err
}

// hasSameBytes reports whether two accounts are stored as the same bytes.
func hasSameBytes(a, b billing.Account) bool {
	valueA, errA := json.Marshal(a)
	valueB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(valueA) == string(valueB)
}
