package billingservice

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// addReports adds reported usage to accounts, if this instance holds the maintenance lease. A single write deletes
// many reports and adds their units, because a further write has to wait until this replica has applied the last one.
//
// A report that cannot be added stays in the store for an operator to inspect, so that its usage is not dropped
// silently. It does not delay other reports.
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
		return reportErr // an account has changed since it was read; the next round retries
	}
	return errors.Join(err, reportErr)
}

// collectReports returns a batch of as many stored reports as one write can hold, in the order of their keys. Its error
// is an *InvalidReportError for the last of the examined reports that cannot be added, or nil.
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
			reportErr = &InvalidReportError{ReportName: name, Err: err}
			continue
		}
		if !batch.fits(items) {
			break
		}
		if err := s.addReport(batch, items); err != nil {
			reportErr = &InvalidReportError{ReportName: name, Err: err}
			continue
		}
		batch.deleteReport(reportPrefix+name, entry.Index)
	}
	return batch, reportErr
}

// reportBatch holds the reports that one write deletes and the accounts to which it adds their units.
type reportBatch struct {
	accounts  map[string]billing.Account // by tenant, with the reports' units added
	indices   map[string]kv.Index        // of the accounts when they were read, by tenant
	deletions []kv.Edit                  // deletions of the reports
}

// fits reports whether the write can hold a further report, even if none of the report's accounts is in it yet.
func (b *reportBatch) fits(items []usageItem) bool {
	return len(b.deletions)+len(b.accounts)+len(items) < maxEditsPerWrite
}

// deleteReport adds the deletion of a report that was read at an index.
func (b *reportBatch) deleteReport(key string, index kv.Index) {
	b.deletions = append(b.deletions, kv.Edit{Key: key, Conditional: true, ExpectedIndex: index})
}

// edits returns the deletions of the reports, followed by the writes of the accounts in the order of tenants.
func (b *reportBatch) edits() ([]kv.Edit, error) {
	edits := b.deletions
	for _, tenant := range slices.Sorted(maps.Keys(b.accounts)) {
		edit, err := newAccountEdit(b.accounts[tenant], b.indices[tenant])
		if err != nil {
			return nil, err
		}
		edits = append(edits, edit)
	}
	return edits, nil
}

// addReport adds all items of a report to the accounts of a batch. If it fails, the batch is unchanged.
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
		account, err := account.RecordUsage(s.options.Settings(), item.WindowStartNanos, item.Plan, item.MicroUnits)
		if err != nil {
			return err
		}
		accounts[item.Tenant] = account
	}
	batch.accounts = accounts
	batch.indices = indices
	return nil
}
