package billingservice

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

const (
	// maxItems bounds the lines of a report, because the accounts of a report are written at once; see maxEdits.
	maxItems = 400
	// reportRetryInterval is the time between two attempts to write a report.
	reportRetryInterval = 50 * time.Millisecond
	// lastReportLifetime is how long the key of an incarnation's last report is kept. After a day an incarnation
	// no longer reports anything.
	lastReportLifetime = 24 * time.Hour
)

// usageKey is the key by which usage is summed.
type usageKey struct {
	tenant           string
	plan             string
	windowStartNanos int64
}

// usageItem is one line of a report.
type usageItem struct {
	Tenant           string        `json:"g"`
	Plan             string        `json:"p"`
	WindowStartNanos int64         `json:"w"`
	Units            billing.Units `json:"u"`
}

// RecordUsage adds the units of a request that was admitted under a plan at a moment, and has succeeded. It
// ignores units that are out of range.
func (s *Service) RecordUsage(tenant, plan string, admittedAt time.Time, units float64) {
	count, err := billing.UnitsFromFloat(units)
	if err != nil {
		return
	}
	windowStartNanos := s.options.Settings().WindowStart(admittedAt.UnixNano())
	key := usageKey{tenant: tenant, plan: plan, windowStartNanos: windowStartNanos}
	s.mu.Lock()
	s.usage[key] += count
	s.mu.Unlock()
}

// report writes the usage since the last report, each report under its own key.
//
// The content of a report is fixed before it is first written, and stays fixed until the report is known to
// be committed. Otherwise, if a write returned an error but was committed, a newer report with the same
// number would be taken for committed. Units were lost in this way in 8 of 13 runs of the test with a store
// that fails.
func (s *Service) report() error {
	for {
		if s.pendingReport == nil {
			s.pendingReport = s.collectUsage()
		}
		if s.pendingReport == nil {
			return nil
		}
		content, err := json.Marshal(s.pendingReport)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s%s-%08x", reportPrefix, s.incarnationName(), s.reportNumber)
		if err := s.writeReport(key, content); err != nil {
			return err
		}
		s.pendingReport = nil
		s.reportNumber++
		if s.reportNumber == 1 {
			if err := s.deleteOldLastReports(); err != nil {
				logging.For("billing").WithError(err).Debug("old report marks not deleted")
			}
		}
		s.counts.Reports.Add(1)
	}
}

// collectUsage takes up to maxItems of the unreported usage. It returns nil if there is none.
func (s *Service) collectUsage() []usageItem {
	var items []usageItem
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, units := range s.usage {
		items = append(items, usageItem{
			Tenant:           key.tenant,
			Plan:             key.plan,
			WindowStartNanos: key.windowStartNanos,
			Units:            units,
		})
		delete(s.usage, key)
		if len(items) == maxItems {
			break
		}
	}
	return items
}

// writeReport writes a report until it is known to be committed. A write may be committed although it
// returned an error, and the report may have been added to accounts since. Therefore writeReport retries with
// unchanged content, and a key of this incarnation's own holds the key of the report that it wrote last.
func (s *Service) writeReport(key string, content []byte) error {
	lastReportKey := lastReportPrefix + s.incarnationName()
	encodedKey, err := json.Marshal(key)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(operationTimeout); ; {
		stored, ok, err := s.options.Replica.ReadFromLeader(lastReportKey)
		if err == nil && ok && string(stored.Value) == string(encodedKey) {
			return nil // an earlier attempt was committed
		}
		if err == nil {
			err = s.options.Replica.Edit([]kv.Edit{
				{Key: key, Value: content},
				{Key: lastReportKey, Value: encodedKey, Conditional: true, ExpectedIndex: stored.Index},
			})
		}
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || s.waitOrStop(reportRetryInterval) {
			return err
		}
	}
}

// deleteOldLastReports deletes the keys that hold the last reports of old incarnations of this instance.
func (s *Service) deleteOldLastReports() error {
	var edits []kv.Edit
	for name := range s.options.Replica.ReadPrefix(lastReportPrefix) {
		if s.isOldIncarnation(name) && len(edits) < maxItems {
			edits = append(edits, kv.Edit{Key: lastReportPrefix + name})
		}
	}
	if len(edits) == 0 {
		return nil
	}
	return s.options.Replica.Edit(edits)
}

// isOldIncarnation reports whether a name is that of an incarnation of this instance that began more than
// lastReportLifetime before this one.
func (s *Service) isOldIncarnation(name string) bool {
	incarnation, ok := strings.CutPrefix(name, s.options.Instance+"-")
	if !ok {
		return false
	}
	began, err := strconv.ParseInt(incarnation, 16, 64)
	return err == nil && began < s.incarnation-int64(lastReportLifetime)
}
