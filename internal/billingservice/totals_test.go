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

// totals sums what instances use, independently of what they write.
type totals struct {
	t           *testing.T
	replica     *memoryReplica
	receiverURL string

	mu       sync.Mutex
	certain  billing.Units // known to be reported or committed
	possible billing.Units // may be reported or committed
}

func (c *totals) addCertain(units billing.Units) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.certain += units
}

func (c *totals) addPossible(units billing.Units) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.possible += units
}

// ending is how an incarnation of an instance ends.
type ending int

const (
	closed ending = iota
	killed        // without a last report
)

// runIncarnation lets one incarnation of an instance record usage and commit reservations. If it is killed,
// the usage that it has not reported is lost, and nothing else.
func (c *totals) runIncarnation(instance, incarnation int, random *rand.Rand, end ending) {
	service := startService(c.replica, fmt.Sprint("d", instance), NewReceiver(c.receiverURL))
	recorded := billing.Units(0)
	for n := range 30 {
		tenant := fmt.Sprintf("g%d", random.IntN(4))
		age := time.Duration(random.IntN(500)) * time.Millisecond
		service.RecordUsage(tenant, "small", time.Now().Add(-age), 1.5)
		recorded += 1500000
		if n%5 != 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.reserveAndCommit(service, tenant, fmt.Sprintf("%d-%d-%d", instance, incarnation, n))
	}
	if end == closed {
		service.Close()
		c.addCertain(recorded)
		return
	}
	unreported := kill(service)
	c.addCertain(recorded - unreported)
	c.addPossible(unreported) // its last report may have been committed
}

// kill ends a service without a last report, and returns the usage that it does not know to be reported.
func kill(service *Service) billing.Units {
	close(service.stop)
	service.loops.Wait()
	service.usage.mu.Lock()
	defer service.usage.mu.Unlock()
	unreported := billing.Units(0)
	for _, units := range service.usage.units {
		unreported += units
	}
	for _, item := range service.reports.pending {
		unreported += item.Units
	}
	return unreported
}

// reserveAndCommit reserves three units and commits two of them.
func (c *totals) reserveAndCommit(service *Service, tenant, id string) {
	reservation, err := service.Reserve(tenant, billing.ReservationRequest{
		ID:         id,
		Holder:     "me",
		Plan:       "large",
		Units:      3e6,
		LeaseNanos: int64(400 * time.Millisecond),
	})
	if err != nil {
		return
	}
	_, err = service.Commit(tenant, id, reservation.Epoch, 2e6)
	switch {
	case err == nil:
		c.addCertain(2e6)
	case errors.Is(err, ErrStore):
		c.resolveCommit(service, tenant, id)
	case errors.Is(err, billing.ErrStaleEpoch): // an earlier attempt was applied, and its answer was lost
		c.addCertain(2e6)
	case !errors.Is(err, billing.ErrExpired):
		c.t.Error(err)
	}
}

// resolveCommit finds out whether a commit without an answer was applied.
func (c *totals) resolveCommit(service *Service, tenant, id string) {
	account, _, err := service.Account(tenant, "large")
	for err != nil {
		account, _, err = service.Account(tenant, "large")
	}
	reservation, ok := account.Reservations[id]
	if !ok { // the reservation has ended by now
		c.addPossible(2e6)
		return
	}
	if reservation.Remaining == 1e6 {
		c.addCertain(2e6)
	}
}

// openItems counts the reports, usages and reservations that are not exported or returned yet.
func openItems(t *testing.T, replica *memoryReplica) int {
	t.Helper()
	open := len(replica.ReadLocalPrefix(reportPrefix))
	for _, value := range replica.ReadLocalPrefix(accountPrefix) {
		var account billing.Account
		if err := json.Unmarshal(value, &account); err != nil {
			t.Fatal(err)
		}
		for _, window := range account.Windows {
			open += len(window.Used)
		}
		open += len(account.Reservations)
	}
	return open
}

// TestService_ExportsExactTotalsThroughFailures lets three instances report usage and reserve, while the
// store's writes fail before or after they are committed, the receiver fails before or after it has accepted
// a batch, and services are killed and started again. In the end the receiver has what was reported and
// committed, to the millionth, each record once and in order.
func TestService_ExportsExactTotalsThroughFailures(t *testing.T) {
	replica := newMemoryReplica()
	replica.failureRate = 0.1
	receiver, url := newStubReceiver(t)
	receiver.failureRate = 0.3
	count := &totals{t: t, replica: replica, receiverURL: url}
	var instances sync.WaitGroup
	for n := range 3 {
		instances.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 9))
			for incarnation, end := range []ending{closed, killed, closed} {
				count.runIncarnation(n, incarnation, random, end)
			}
		})
	}
	instances.Wait()
	service := startService(replica, "last", NewReceiver(url))
	defer service.Close()
	testutil.Eventually(t, "all to be exported", func() bool {
		return service.PendingRecords() == 0 && openItems(t, replica) == 0
	})
	got, err := receiver.total()
	if err != nil || got < count.certain || got > count.certain+count.possible || receiver.repeated == 0 {
		t.Errorf("%v: the receiver has %v; certain %v, and possible %v; %d batches came again",
			err, got, count.certain, count.possible, receiver.repeated)
	}
	t.Logf("%.1f units in %d records, %d batches came again", got.Float(), receiver.last, receiver.repeated)
}
