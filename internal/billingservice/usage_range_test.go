package billingservice

import (
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// TestRecordUsage_LogsUnitsOutOfRange guards against units that are out of range being dropped without being logged or
// counted.
func TestRecordUsage_LogsUnitsOutOfRange(t *testing.T) {
	const requestCount = 9
	service := startService(newMemoryReplica(), "a", nil)
	defer service.Close()
	hook := test.NewGlobal()
	defer hook.Reset()
	for range requestCount {
		service.RecordUsage("0000000000000005", "team", time.Now(), math.Inf(1))
	}
	loggedCounts := []uint64{}
	for _, entry := range hook.AllEntries() {
		if entry.Message == "usage dropped" {
			loggedCounts = append(loggedCounts, entry.Data["dropped"].(uint64))
		}
	}
	// The expected counts are 1, 2, 4 and 8, so that a faulty backend does not flood the log.
	if len(loggedCounts) != 4 || loggedCounts[3] != 8 {
		t.Errorf("logged at the counts %v of %d dropped requests", loggedCounts, requestCount)
	}
}
