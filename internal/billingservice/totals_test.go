package billingservice

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/testutil"
)

// usageTotals sums the usage of instances independently of what the instances write to the store.
type usageTotals struct {
	t           *testing.T
	replica     *memoryReplica
	receiverURL string

	mu               sync.Mutex
	confirmedUnits   billing.MicroUnits // known to be committed to the store
	unconfirmedUnits billing.MicroUnits // may be committed to the store
}

func (u *usageTotals) addConfirmed(units billing.MicroUnits) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.confirmedUnits += units
}

func (u *usageTotals) addUnconfirmed(units billing.MicroUnits) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unconfirmedUnits += units
}

// incarnationEnd is the way in which an incarnation of an instance ends.
type incarnationEnd int

const (
	endedByClose incarnationEnd = iota
	endedByKill                 // without a last report
)

// runIncarnation starts one incarnation of an instance, records usage and commits reservations at it, and ends it. If
// the incarnation is killed, only the usage that it has not reported may be lost.
func (u *usageTotals) runIncarnation(instance, incarnation int, random *rand.Rand, end incarnationEnd) {
	service := startService(u.replica, fmt.Sprint("d", instance), NewHTTPSink(u.receiverURL))
	recorded := billing.MicroUnits(0)
	for n := range 30 {
		tenant := fmt.Sprintf("g%d", random.IntN(4))
		age := time.Duration(random.IntN(500)) * time.Millisecond
		service.RecordUsage(tenant, "small", time.Now().Add(-age), 1.5)
		recorded += 1500000
		if n%5 != 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		u.reserveAndCommit(service, tenant, fmt.Sprintf("%d-%d-%d", instance, incarnation, n))
	}
	if end == endedByClose {
		service.Close()
		u.addConfirmed(recorded)
		return
	}
	unreported := kill(service)
	u.addConfirmed(recorded - unreported)
	u.addUnconfirmed(unreported) // its last report may have been committed
}

// kill ends a service without a last report, and returns the usage whose report is not known to be committed.
func kill(service *Service) billing.MicroUnits {
	close(service.stop)
	service.loops.Wait()
	service.usage.mu.Lock()
	defer service.usage.mu.Unlock()
	unreported := billing.MicroUnits(0)
	for _, units := range service.usage.units {
		unreported += units
	}
	for _, item := range service.reports.pending {
		unreported += item.MicroUnits
	}
	return unreported
}

// reserveAndCommit reserves three units and commits two of them.
func (u *usageTotals) reserveAndCommit(service *Service, tenant, id string) {
	reservation, err := service.Reserve(tenant, billing.ReservationRequest{
		ID:         id,
		Holder:     "me",
		Plan:       "large",
		MicroUnits: 3e6,
		LeaseNanos: int64(400 * time.Millisecond),
	})
	if err != nil {
		return
	}
	_, err = service.Commit(tenant, id, reservation.Epoch, 2e6)
	switch {
	case err == nil:
		u.addConfirmed(2e6)
	case errors.Is(err, ErrStore):
		u.resolveCommit(service, tenant, id)
	case errors.Is(err, billing.ErrStaleEpoch): // an earlier attempt was committed, but its answer was lost
		u.addConfirmed(2e6)
	case !errors.Is(err, billing.ErrExpired):
		u.t.Error(err)
	}
}

// resolveCommit reads the account to determine whether a commit that got no answer was committed.
func (u *usageTotals) resolveCommit(service *Service, tenant, id string) {
	account, _, err := service.Account(tenant, "large")
	for err != nil {
		account, _, err = service.Account(tenant, "large")
	}
	reservation, ok := account.Reservations[id]
	if !ok { // the reservation has ended since
		u.addUnconfirmed(2e6)
		return
	}
	if reservation.Remaining == 1e6 {
		u.addConfirmed(2e6)
	}
}

// countOpenItems returns the number of reports, sums of unexported usage, and reservations in the store.
func countOpenItems(t *testing.T, replica *memoryReplica) int {
	t.Helper()
	count := len(replica.ReadLocalPrefix(reportPrefix))
	for _, value := range replica.ReadLocalPrefix(accountPrefix) {
		var account billing.Account
		if err := json.Unmarshal(value, &account); err != nil {
			t.Fatal(err)
		}
		for _, window := range account.Windows {
			count += len(window.UnexportedByPlan)
		}
		count += len(account.Reservations)
	}
	return count
}

// TestService_ExportsExactTotalsThroughFailures runs three instances that report usage and commit reservations, while
// writes to the store fail before or after they are committed, the receiver fails before or after it has accepted a
// batch, and services are killed and restarted. It checks that the receiver has exactly the usage that was committed to
// the store, each record once and in order.
func TestService_ExportsExactTotalsThroughFailures(t *testing.T) {
	replica := newMemoryReplica()
	replica.failureRate = 0.1
	receiver, url := newStubReceiver(t)
	receiver.failureRate = 0.3
	totals := &usageTotals{t: t, replica: replica, receiverURL: url}
	var instances sync.WaitGroup
	for n := range 3 {
		instances.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 9))
			for incarnation, end := range []incarnationEnd{endedByClose, endedByKill, endedByClose} {
				totals.runIncarnation(n, incarnation, random, end)
			}
		})
	}
	instances.Wait()
	service := startService(replica, "last", NewHTTPSink(url))
	defer service.Close()
	testutil.Eventually(t, "all to be exported", func() bool {
		return service.PendingRecords() == 0 && countOpenItems(t, replica) == 0
	})
	got, err := receiver.total()
	if err != nil || got < totals.confirmedUnits || got > totals.confirmedUnits+totals.unconfirmedUnits ||
		receiver.repeatedBatches == 0 {
		t.Errorf("%v: the receiver has %v, of %v confirmed and %v unconfirmed; %d batches were received again",
			err, got, totals.confirmedUnits, totals.unconfirmedUnits, receiver.repeatedBatches)
	}
	t.Logf("%.1f units in %d records, %d batches were received again",
		got.Float(), receiver.lastSequence, receiver.repeatedBatches)
}
