package billingservice

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// addReports adds reported usage to accounts, if this instance holds the maintenance lease. One write deletes
// many reports and adds their units, because a next write must wait until this replica has the last one.
//
// A report that cannot be added stays until somebody looks at it. Usage is not dropped silently, and other
// reports are not held up.
func (s *Service) addReports() error {
	if !s.ensureLease() {
		return nil
	}
	batch, reportErr := s.collectReports()
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

// collectReports returns the first of the stored reports, as many as one write can hold, and an
// *InvalidReportError about the last report among them that cannot be added.
func (s *Service) collectReports() (*reportBatch, error) {
	batch := &reportBatch{accounts: map[string]billing.Account{}, indices: map[string]kv.Index{}}
	var reportErr error
	for _, name := range slices.Sorted(maps.Keys(s.options.Replica.ReadLocalPrefix(reportPrefix))) {
		entry, ok := s.options.Replica.ReadLocal(reportPrefix + name)
		if !ok {
			continue
		}
		var items []usageItem
		if err := json.Unmarshal(entry.Value, &items); err != nil {
			reportErr = &InvalidReportError{Name: name, Err: err}
			continue
		}
		if !batch.fits(items) {
			break
		}
		if err := s.addReport(batch, items); err != nil {
			reportErr = &InvalidReportError{Name: name, Err: err}
			continue
		}
		batch.deleteReport(reportPrefix+name, entry.Index)
	}
	return batch, reportErr
}

// reportBatch holds what one write adds and deletes.
type reportBatch struct {
	accounts  map[string]billing.Account // by tenant, including the reports' units
	indices   map[string]kv.Index        // of the accounts, as they were read
	deletions []kv.Edit                  // of the reports
}

// fits reports whether the write can hold a further report, even if none of its accounts is in the write yet.
func (b *reportBatch) fits(items []usageItem) bool {
	return len(b.deletions)+len(b.accounts)+len(items) < maxEdits
}

// deleteReport adds the deletion of a report that was read at an index.
func (b *reportBatch) deleteReport(key string, index kv.Index) {
	b.deletions = append(b.deletions, kv.Edit{Key: key, Conditional: true, ExpectedIndex: index})
}

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
		account, err := account.RecordUsage(s.options.Settings(), item.WindowStartNanos, item.Plan, item.Units)
		if err != nil {
			return err
		}
		accounts[item.Tenant] = account
	}
	batch.accounts = accounts
	batch.indices = indices
	return nil
}
