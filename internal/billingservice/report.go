package billingservice

import (
	"encoding/json"
	"fmt"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// maxReportItems is the maximum number of items in a report. It is below maxEditsPerWrite, because all accounts of a
// report are written in one write.
const maxReportItems = 400

// usageItem is one item of a report: the usage of a tenant under a plan in a window.
type usageItem struct {
	Tenant           string             `json:"g"`
	Plan             string             `json:"p"`
	WindowStartNanos int64              `json:"w"` // unix ns
	MicroUnits       billing.MicroUnits `json:"u"`
}

// reportState is the progress of this incarnation's reports. Only the report loop uses it and, after that loop has
// ended, Close.
//
// The content of a report does not change from the first attempt to write it until it is known to be committed.
// Otherwise, if a write returned an error but was committed, a report with the same number and new content would be
// considered committed, and its units would be lost.
type reportState struct {
	pending []usageItem // the items of the report that is being written; nil if there is none
	number  uint64      // the number of the pending report or, if there is none, of the next one
}

// isPending reports whether there is a report that is not known to be committed.
func (r *reportState) isPending() bool { return r.pending != nil }

// setPending makes items the pending report. If items is nil, no report is pending.
func (r *reportState) setPending(items []usageItem) { r.pending = items }

// markCommitted records that the pending report is committed.
func (r *reportState) markCommitted() {
	r.pending = nil
	r.number++
}

// hasCommittedExactlyOne reports whether this incarnation has committed exactly one report.
func (r *reportState) hasCommittedExactlyOne() bool { return r.number == 1 }

// reportUsage writes the usage since the last report, as one or more reports under keys of their own.
func (s *Service) reportUsage() error {
	for {
		if !s.reports.isPending() {
			s.reports.setPending(s.usage.takeItems(maxReportItems))
		}
		if !s.reports.isPending() {
			return nil
		}
		if err := s.writePendingReport(); err != nil {
			return err
		}
		s.reports.markCommitted()
		if s.reports.hasCommittedExactlyOne() {
			s.cleanUpLastReportKeys()
		}
		s.stats.Reports.Add(1)
	}
}

// writePendingReport writes the pending report, and retries until the report is known to be committed or retry returns
// an error. After the service has been stopped it makes a single attempt; Close then calls it again.
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

// attemptReport writes a report, unless an earlier attempt was committed although it returned an error. The report's
// key does not show whether that happened, because the report may have been added to accounts since, which deletes the
// key. Therefore each write also stores the report's key under the last-report key of this incarnation.
func (s *Service) attemptReport(key string, encodedKey, content []byte) error {
	lastReportKey := lastReportPrefix + s.incarnationName()
	lastReport, found, err := s.options.Replica.ReadFromLeader(lastReportKey)
	if err != nil {
		return err
	}
	if found && string(lastReport.Value) == string(encodedKey) {
		return nil
	}
	return s.options.Replica.Edit([]kv.Edit{
		{Key: key, Value: content},
		{Key: lastReportKey, Value: encodedKey, Conditional: true, ExpectedIndex: lastReport.Index},
	})
}

// cleanUpLastReportKeys deletes the last-report keys of earlier incarnations. It only logs an error, because the next
// incarnation deletes the keys that remain.
func (s *Service) cleanUpLastReportKeys() {
	if err := s.deleteOldLastReportKeys(); err != nil {
		logging.For(logComponent).WithError(err).Debug("old report marks not deleted")
	}
}
