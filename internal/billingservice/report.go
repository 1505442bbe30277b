package billingservice

import (
	"encoding/json"
	"fmt"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// maxReportItems bounds the lines of a report, because the accounts of a report are written at once; see
// maxEdits.
const maxReportItems = 400

// usageItem is one line of a report.
type usageItem struct {
	Tenant           string             `json:"g"`
	Plan             string             `json:"p"`
	WindowStartNanos int64              `json:"w"` // unix ns
	MicroUnits       billing.MicroUnits `json:"u"`
}

// reportState is the progress of this incarnation's reports. It belongs to the report loop and, after that
// loop has ended, to Close.
//
// The content of a report is fixed before it is first written, and stays fixed until the report is known to
// be committed. Otherwise, if a write returned an error but was committed, a newer report with the same
// number would be taken for committed, and its units would be lost.
type reportState struct {
	pending []usageItem // the report that is being written; nil if there is none
	number  uint64      // of the pending report, or of the next one
}

// isPending reports whether a report is fixed and not known to be committed.
func (r *reportState) isPending() bool { return r.pending != nil }

// fix makes items the pending report. With no items, no report is pending.
func (r *reportState) fix(items []usageItem) { r.pending = items }

// commit records that the pending report is committed.
func (r *reportState) commit() {
	r.pending = nil
	r.number++
}

// isFirstCommitted reports whether exactly one report is committed.
func (r *reportState) isFirstCommitted() bool { return r.number == 1 }

// report writes the usage since the last report, each report under its own key.
func (s *Service) report() error {
	for {
		if !s.reports.isPending() {
			s.reports.fix(s.usage.take(maxReportItems))
		}
		if !s.reports.isPending() {
			return nil
		}
		if err := s.writePendingReport(); err != nil {
			return err
		}
		s.reports.commit()
		if s.reports.isFirstCommitted() {
			s.cleanUpLastReports()
		}
		s.counts.Reports.Add(1)
	}
}

// writePendingReport writes the pending report until it is known to be committed, or retry gives up. Once the
// service is stopped it makes one attempt; Close then calls it again.
func (s *Service) writePendingReport() error {
	content, err := json.Marshal(s.reports.pending)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s-%08x", reportPrefix, s.incarnationName(), s.reports.number)
	encodedKey, err := json.Marshal(key)
	if err != nil {
		return err
	}
	return retry(
		func() error { return s.attemptReport(key, encodedKey, content) },
		func() bool { return s.waitOrStop(reportRetryInterval) },
	)
}

// attemptReport writes a report, unless an earlier attempt was committed although it returned an error. In
// that case the report may even have been added to accounts since, so its own key does not show it. A key of
// this incarnation's own therefore names the report that was written last.
func (s *Service) attemptReport(key string, encodedKey, content []byte) error {
	lastReportKey := lastReportPrefix + s.incarnationName()
	last, found, err := s.options.Replica.ReadFromLeader(lastReportKey)
	if err != nil {
		return err
	}
	if found && string(last.Value) == string(encodedKey) {
		return nil
	}
	return s.options.Replica.Edit([]kv.Edit{
		{Key: key, Value: content},
		{Key: lastReportKey, Value: encodedKey, Conditional: true, ExpectedIndex: last.Index},
	})
}

// cleanUpLastReports deletes what earlier incarnations left. A failure is only logged, because the next
// incarnation deletes it.
func (s *Service) cleanUpLastReports() {
	if err := s.deleteOldLastReports(); err != nil {
		logging.For(logComponent).WithError(err).Debug("old report marks not deleted")
	}
}
