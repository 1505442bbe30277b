package billingservice

import (
	"encoding/json"
	"fmt"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// readLocalAccount reads an account from this replica, which may not have applied the latest writes. Its results are
// those of decodeAccount.
func (s *Service) readLocalAccount(tenant string) (billing.Account, kv.Index, error) {
	entry, found := s.options.Replica.ReadLocal(accountPrefix + tenant)
	return decodeAccount(tenant, entry, found)
}

// readAccountFromLeader reads an account from the leader, which has applied every committed write. Its results are
// those of decodeAccount.
func (s *Service) readAccountFromLeader(tenant string) (billing.Account, kv.Index, error) {
	entry, found, err := s.options.Replica.ReadFromLeader(accountPrefix + tenant)
	if err != nil {
		return billing.Account{}, 0, err
	}
	return decodeAccount(tenant, entry, found)
}

// decodeAccount returns the account that a tenant's entry contains, and the entry's index. If there is no entry, it
// returns an empty account and index 0. A write with this index as ExpectedIndex fails if the entry was written since.
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

// writeAccount writes an account if its entry still has the given index.
func (s *Service) writeAccount(account billing.Account, index kv.Index) error {
	edit, err := newAccountEdit(account, index)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit([]kv.Edit{edit})
}

// newAccountEdit returns the edit that writes an account or, if the account is empty, deletes its entry.
func newAccountEdit(account billing.Account, index kv.Index) (kv.Edit, error) {
	edit := kv.Edit{Key: accountPrefix + account.Tenant, Conditional: true, ExpectedIndex: index}
	if account.IsEmpty() {
		return edit, nil
	}
	value, err := json.Marshal(account)
	edit.Value = value
	return edit, err
}

// haveEqualEncoding reports whether two accounts are encoded as the same bytes.
func haveEqualEncoding(a, b billing.Account) bool {
	valueA, errA := json.Marshal(a)
	valueB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(valueA) == string(valueB)
}
