package billingservice

import (
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/store/kv"
)

const (
	// lastReportRetention is how much earlier than this incarnation another one must have started for its last-report
	// key to be deleted. An incarnation no longer reports usage a day after a later one has started.
	lastReportRetention = 24 * time.Hour
	// maxLastReportDeletions is the maximum number of keys that one write deletes.
	maxLastReportDeletions = 400
)

// deleteOldLastReportKeys deletes the last-report keys of old incarnations of this instance.
func (s *Service) deleteOldLastReportKeys() error {
	var edits []kv.Edit
	for name := range s.options.Replica.ReadLocalPrefix(lastReportPrefix) {
		if s.isOldIncarnation(name) && len(edits) < maxLastReportDeletions {
			edits = append(edits, kv.Edit{Key: lastReportPrefix + name})
		}
	}
	if len(edits) == 0 {
		return nil
	}
	return s.options.Replica.Edit(edits)
}

// isOldIncarnation reports whether a name is that of an incarnation of this instance that started more than
// lastReportRetention before this one.
func (s *Service) isOldIncarnation(name string) bool {
	startHex, ok := strings.CutPrefix(name, s.options.Instance+"-")
	if !ok {
		return false
	}
	startNanos, err := strconv.ParseInt(startHex, 16, 64)
	return err == nil && startNanos < s.incarnationStartNanos-int64(lastReportRetention)
}
