package billingservice

import (
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/store/kv"
)

const (
	// lastReportLifetime is how much older than this one an incarnation must be for its last-report key to be
	// deleted. After a day an incarnation no longer reports anything.
	lastReportLifetime = 24 * time.Hour
	// maxLastReportDeletions bounds the keys that one write deletes.
	maxLastReportDeletions = 400
)

// deleteOldLastReports deletes the keys that name the last reports of old incarnations of this instance.
func (s *Service) deleteOldLastReports() error {
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

// isOldIncarnation reports whether a name is that of an incarnation of this instance that began more than
// lastReportLifetime before this one.
func (s *Service) isOldIncarnation(name string) bool {
	incarnation, ok := strings.CutPrefix(name, s.options.Instance+"-")
	if !ok {
		return false
	}
	beganNanos, err := strconv.ParseInt(incarnation, 16, 64)
	return err == nil && beganNanos < s.incarnationNanos-int64(lastReportLifetime)
}
