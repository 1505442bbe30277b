package billingservice

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// sleepUntil advances the clock of a synctest bubble to the given time and waits until all goroutines are blocked. It
// fails the test if the clock is already past that time, because later checks would run at a wrong time.
func sleepUntil(t *testing.T, wakeTime time.Time) {
	t.Helper()
	time.Sleep(time.Until(wakeTime))
	synctest.Wait()
	if now := time.Now(); !now.Equal(wakeTime) {
		t.Fatalf("the time is %v, want %v", now, wakeTime)
	}
}

// TestService_ExpiresAbandonedReservationsOnTime abandons reservations. It checks that each expires at the first
// compaction of the other instance after the reservation's lease and the clock skew, and not a nanosecond earlier. The
// clock is that of a synctest bubble, so the times are exact regardless of the load on the machine.
func TestService_ExpiresAbandonedReservationsOnTime(t *testing.T) {
	const lease = 300 * time.Millisecond
	expiryDelay := lease + time.Duration(testSettings().ClockSkewNanos)
	// A reservation that is made this long after the other instance's start can expire exactly at the first compaction.
	longestOffset := CompactionInterval - expiryDelay
	for name, test := range map[string]struct {
		after time.Duration // from the start of the other instance to the reservation
		want  time.Duration // from the reservation to its expiry
	}{
		"when the other instance starts":   {0, CompactionInterval},
		"just before a compaction":         {longestOffset - 1, expiryDelay + 1},
		"at a compaction":                  {longestOffset, expiryDelay},
		"just after a compaction":          {longestOffset + 1, expiryDelay + CompactionInterval - 1},
		"between two compactions":          {longestOffset + CompactionInterval/2, expiryDelay + CompactionInterval/2},
		"after many compactions":           {20*CompactionInterval + longestOffset + 1, expiryDelay + CompactionInterval - 1},
		"before the other instance starts": {-20 * time.Millisecond, CompactionInterval + 20*time.Millisecond},
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
				reserveAndClose(t, replica, lease)
				if other == nil {
					other = startService(replica, "e", nil)
				}
				defer other.Close()
				expiresAt := reservedAt.Add(test.want)
				sleepUntil(t, expiresAt.Add(-time.Nanosecond))
				if !isReserved(t, other) {
					t.Errorf("expired before %v", test.want)
				}
				sleepUntil(t, expiresAt)
				if isReserved(t, other) {
					t.Errorf("not expired after %v", test.want)
				}
			})
		})
	}
}

// reserveAndClose makes a reservation at an instance and closes the instance 20 ms later, after its first report. It
// checks that this report deletes the last-report key of an old incarnation.
func reserveAndClose(t *testing.T, replica *memoryReplica, lease time.Duration) {
	t.Helper()
	service := startService(replica, "d", nil)
	request := billing.ReservationRequest{
		ID:         "r",
		Holder:     "gone",
		Plan:       "small",
		MicroUnits: 10e6,
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
		t.Errorf("last-report keys after the first report: %v", replica.ReadLocalPrefix(lastReportPrefix))
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

// Guards against units that are both returned and spent: once an account was empty its epochs began anew, and a holder
// whose lease was long over committed a later reservation of the same id.
func TestService_EpochsOfDeletedAccountAreNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := newMemoryReplica()
		service := startService(replica, "e", nil)
		defer service.Close()
		for _, tenant := range []string{"g", "h"} {
			former := reserveAs(t, service, tenant, "first")
			awaitDeletion(t, replica, tenant)
			current := reserveAs(t, service, tenant, "second")
			if current.Epoch <= former.Epoch {
				t.Errorf("epoch %d after %d", current.Epoch, former.Epoch)
			}
			if _, err := service.Commit(tenant, "nightly", former.Epoch, 10e6); !errors.Is(err, billing.ErrStaleEpoch) {
				t.Errorf("commit by the former holder: %v", err)
			}
			if _, err := service.Commit(tenant, "nightly", current.Epoch, 10e6); err != nil {
				t.Errorf("commit by the holder: %v", err)
			}
		}
	})
}

// reserveAs makes the reservation "nightly" of ten units for a holder.
func reserveAs(t *testing.T, service *Service, tenant, holder string) billing.Reservation {
	t.Helper()
	reservation, err := service.Reserve(tenant, billing.ReservationRequest{
		ID:         "nightly",
		Holder:     holder,
		Plan:       "small",
		MicroUnits: 10e6,
		LeaseNanos: int64(300 * time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	return reservation
}

// awaitDeletion waits until a tenant's account, which holds nothing, is deleted.
func awaitDeletion(t *testing.T, replica *memoryReplica, tenant string) {
	t.Helper()
	const longestRetention = 24 * time.Hour
	for start := time.Now(); time.Since(start) < longestRetention; time.Sleep(CompactionInterval) {
		if _, found := replica.ReadLocal(accountPrefix + tenant); !found {
			return
		}
	}
	t.Fatal("an account that holds nothing is not deleted")
}
