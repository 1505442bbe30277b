package billingservice

import (
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// sleepUntil moves a bubble's clock to a moment, and waits for all that happens then. A moment that has
// passed fails the test, because what follows would be checked at another one.
func sleepUntil(t *testing.T, moment time.Time) {
	t.Helper()
	time.Sleep(time.Until(moment))
	synctest.Wait()
	if now := time.Now(); !now.Equal(moment) {
		t.Fatalf("it is %v, and not %v", now, moment)
	}
}

// TestService_ReservationsReturnInTime abandons reservations. Each returns at the first compaction of the
// other instance after its lease and the clock skew, and not a nanosecond earlier. The clock is that of a
// synctest bubble, so the moments are exact, however busy the machine is.
func TestService_ReservationsReturnInTime(t *testing.T) {
	const lease = 300 * time.Millisecond
	due := lease + time.Duration(testSettings().ClockSkewNanos)
	// A reservation made this long after the other instance's start is due exactly at its first compaction.
	last := CompactionInterval - due
	for name, test := range map[string]struct {
		after time.Duration // from the other instance's start to the reservation
		want  time.Duration // from the reservation to its return
	}{
		"as the other starts":      {0, CompactionInterval},
		"just before a compaction": {last - 1, due + 1},
		"at a compaction":          {last, due},
		"just after a compaction":  {last + 1, due + CompactionInterval - 1},
		"in the middle":            {last + CompactionInterval/2, due + CompactionInterval/2},
		"after many compactions":   {20*CompactionInterval + last + 1, due + CompactionInterval - 1},
		"before the other starts":  {-20 * time.Millisecond, CompactionInterval + 20*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := newMemoryReplica()
				var other *Service
				if test.after >= 0 {
					other = startService(replica, "e", nil)
					time.Sleep(test.after)
				}
				reservedAt := time.Now()
				reserveAndLeave(t, replica, lease)
				if other == nil {
					other = startService(replica, "e", nil)
				}
				defer other.Close()
				returnsAt := reservedAt.Add(test.want)
				sleepUntil(t, returnsAt.Add(-time.Nanosecond))
				if !isReserved(t, other) {
					t.Errorf("returned before %v", test.want)
				}
				sleepUntil(t, returnsAt)
				if isReserved(t, other) {
					t.Errorf("not returned after %v", test.want)
				}
			})
		})
	}
}

// reserveAndLeave reserves at an instance that ends 20 ms later, after its first report. That report deletes
// the key of an old incarnation's last report.
func reserveAndLeave(t *testing.T, replica *memoryReplica, lease time.Duration) {
	t.Helper()
	service := startService(replica, "d", nil)
	request := billing.ReservationRequest{
		ID:         "r",
		Holder:     "gone",
		Plan:       "small",
		Units:      10e6,
		LeaseNanos: int64(lease),
	}
	if _, err := service.Reserve("g", request); err != nil {
		t.Fatal(err)
	}
	oldKey := lastReportPrefix + "d-0000000000000001"
	if err := replica.Edit([]kv.Edit{{Key: oldKey, Value: []byte(`"x"`)}}); err != nil {
		t.Fatal(err)
	}
	service.RecordUsage("g", "small", time.Now(), 1)
	time.Sleep(20 * time.Millisecond)
	synctest.Wait()
	if _, found := replica.ReadLocal(oldKey); found || len(replica.ReadLocalPrefix(lastReportPrefix)) != 1 {
		t.Errorf("last reports after the first report: %v", replica.ReadLocalPrefix(lastReportPrefix))
	}
	service.Close()
}

func isReserved(t *testing.T, service *Service) bool {
	t.Helper()
	account, _, err := service.Account("g", "small")
	if err != nil {
		t.Error(err)
	}
	return len(account.Reservations) > 0
}
