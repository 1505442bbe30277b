package billingservice

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// addReports adds reported usage to accounts, if this instance holds the export lease. One write deletes
// reports and adds their units, for as many reports as it can hold. A second write right after it would be
// based on accounts that this replica does not have yet. When a lease holder that was not the store's leader
// added one report per write, it added four a second and fell behind two instances.
//
// A report that cannot be added stays until somebody looks at it. Usage is not dropped silently, and other
// reports are not held up.
func (s *Service) addReports() error {
	if !s.acquireLease() {
		return nil
	}
	batch := reportBatch{accounts: map[string]billing.Account{}, indices: map[string]kv.Index{}}
	var reportErr error // about the last report that could not be added
	for _, name := range slices.Sorted(maps.Keys(s.options.Replica.ReadPrefix(reportPrefix))) {
		entry, ok := s.options.Replica.ReadLocal(reportPrefix + name)
		if !ok {
			continue
		}
		var items []usageItem
		if err := json.Unmarshal(entry.Value, &items); err != nil {
			reportErr = fmt.Errorf("report %s: %w", name, err)
			continue
		}
		if batch.size()+len(items) >= maxEdits {
			break
		}
		if err := s.addReport(&batch, items); err != nil {
			reportErr = fmt.Errorf("report %s: %w", name, err)
			continue
		}
		deletion := kv.Edit{Key: reportPrefix + name, Conditional: true, ExpectedIndex: entry.Index}
		batch.deletions = append(batch.deletions, deletion)
	}
	if len(batch.deletions) == 0 {
		return reportErr
	}
	edits, err := batch.edits()
	if err != nil {
		return err
	}
	err = s.options.Replica.Edit(edits)
	if isConflict(err) {
		return reportErr // an account has changed in the meantime; the next round tries again
	}
	return errors.Join(err, reportErr)
}

// reportBatch holds what one write adds and deletes.
type reportBatch struct {
	accounts  map[string]billing.Account // by tenant, including the reports' units
	indices   map[string]kv.Index        // of the accounts, as they were read
	deletions []kv.Edit                  // of the reports
}

func (b *reportBatch) size() int { return len(b.deletions) + len(b.accounts) }

// edits returns the deletions, followed by the accounts in order.
func (b *reportBatch) edits() ([]kv.Edit, error) {
	edits := b.deletions
	for _, tenant := range slices.Sorted(maps.Keys(b.accounts)) {
		edit, err := editAccount(b.accounts[tenant], b.indices[tenant])
		if err != nil {
			return nil, err
		}
		edits = append(edits, edit)
	}
	return edits, nil
}

// addReport adds all units of a report to the accounts of a batch, or none.
func (s *Service) addReport(batch *reportBatch, items []usageItem) error {
	accounts := maps.Clone(batch.accounts)
	indices := maps.Clone(batch.indices)
	for _, item := range items {
		account, ok := accounts[item.Tenant]
		if !ok {
			var err error
			if account, indices[item.Tenant], err = s.readLocalAccount(item.Tenant); err != nil {
				return err
			}
		}
		settings := s.options.Settings()
		account, err := account.RecordUsage(settings, item.WindowStartNanos, item.Plan, item.Units)
		if err != nil {
			return err
		}
		accounts[item.Tenant] = account
	}
	batch.accounts = accounts
	batch.indices = indices
	return nil
}
