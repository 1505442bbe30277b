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

// commitReports adds reported use to accounts, where this instance holds the export lease: reports go and
// their units come in one write, as many as it holds. A second write at once would meet accounts that this
// replica does not have yet: report by report, a holder that is not the store's leader committed four a
// second and fell behind two instances.
//
// A report that cannot be added stays until somebody looks: use is not dropped in silence, and others are not
// held up.
func (s *Service) commitReports() error {
	if !s.acquireLease() {
		return nil
	}
	batch := reportBatch{accounts: map[string]billing.Account{}, indices: map[string]kv.Index{}}
	var reportErr error // of the last report that could not be added
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
		deletion := kv.Edit{Key: reportPrefix + name, Check: true, If: entry.Index}
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
		return reportErr // an account was changed meanwhile: in the next round
	}
	return errors.Join(err, reportErr)
}

// reportBatch is what one write commits.
type reportBatch struct {
	accounts  map[string]billing.Account // by tenant, with the reports' units
	indices   map[string]kv.Index        // of the accounts as they were read
	deletions []kv.Edit                  // of the reports
}

func (b *reportBatch) size() int { return len(b.deletions) + len(b.accounts) }

// edits are the deletions and then the accounts in order.
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

// addReport adds a report's units to the accounts of a batch, all or none.
func (s *Service) addReport(batch *reportBatch, items []usageItem) error {
	accounts := maps.Clone(batch.accounts)
	indices := maps.Clone(batch.indices)
	for _, item := range items {
		account, ok := accounts[item.Tenant]
		if !ok {
			var err error
			if account, indices[item.Tenant], err = s.readAccount(item.Tenant, false); err != nil {
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
