package billingservice

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// Guards against use that is billed twice after a restoration: the old backup holds reports that the lost state has
// added to accounts and exported, as it does if it was made while a gateway was stopped.
func TestResume_DropsRestoredReports(t *testing.T) {
	replica := newMemoryReplica()
	receiver, url := newStubReceiver(t)
	reporter := startService(replica, "a", nil)
	reporter.RecordUsage("g", "small", time.Now(), 5)
	reporter.Close()
	restoredReport := usageItem{Tenant: "g", Plan: "small", WindowStartNanos: 0, MicroUnits: 4e6}
	writeReport(t, replica, "b-1", restoredReport)
	oldBackup := takeSnapshot(t, replica)

	exporter := startService(replica, "b", NewHTTPSink(url))
	testutil.Eventually(t, "an export of all use", func() bool { return receiver.hasTotal(9e6) })
	exporter.Close()
	restoreSnapshot(t, replica, oldBackup)
	dropped, err := Resume(replica, receiver.lastSequence, time.Now())
	if err != nil || dropped.ReportItems+dropped.Windows < 1 || len(replica.ReadLocalPrefix(reportPrefix)) != 0 {
		t.Errorf("dropped %+v, error %v; want no report left", dropped, err)
	}
	exporter = startService(replica, "b", NewHTTPSink(url))
	defer exporter.Close()
	exporter.RecordUsage("g", "small", time.Now(), 7)
	testutil.Eventually(t, "an export of the use after the restoration", func() bool { return receiver.hasTotal(16e6) })
}

// Items of windows that began since nothing was exported are billed, also those in a report with earlier items.
func TestResume_KeepsReportItemsOfLaterWindows(t *testing.T) {
	replica := newMemoryReplica()
	before := time.Now()
	later := usageItem{Tenant: "g", Plan: "small", WindowStartNanos: before.UnixNano(), MicroUnits: 3}
	earlier := later
	earlier.WindowStartNanos--
	writeReport(t, replica, "a-1", earlier, later)
	dropped, err := Resume(replica, 0, before)
	if err != nil || dropped.ReportItems != 1 {
		t.Errorf("dropped %+v, error %v; want one item", dropped, err)
	}
	var items []usageItem
	entry, _ := replica.ReadLocal(reportPrefix + "a-1")
	if err := json.Unmarshal(entry.Value, &items); err != nil || len(items) != 1 || items[0] != later {
		t.Errorf("the report has the items %+v, error %v; want the later one", items, err)
	}
}

// Guards against use that is billed twice after a restoration: a reservation of the old backup that the lost state has
// committed and exported could be committed again with the same epoch.
func TestResume_EndsRestoredReservations(t *testing.T) {
	replica := newMemoryReplica()
	service := startService(replica, "a", nil)
	reservation, err := service.Reserve("g", billing.ReservationRequest{
		ID: "r", Holder: "h", Plan: "small", MicroUnits: 2, LeaseNanos: testSettings().MaxLeaseNanos,
	})
	if err != nil {
		t.Fatal(err)
	}
	service.Close()
	dropped, err := Resume(replica, 0, time.Now())
	if err != nil || dropped.Reservations != 1 {
		t.Errorf("dropped %+v, error %v; want one reservation ended", dropped, err)
	}
	service = startService(replica, "a", nil)
	defer service.Close()
	_, err = service.Commit("g", "r", reservation.Epoch, 2)
	if !errors.Is(err, billing.ErrExpired) && !errors.Is(err, billing.ErrNotFound) {
		t.Errorf("the commit of a restored reservation: %v, want a refusal", err)
	}
}

// laggingReplica reads the state of before the first write until it was read a number of times.
type laggingReplica struct {
	*memoryReplica
	staleReads int
}

func (l *laggingReplica) ReadLocal(key string) (kv.Entry, bool) {
	if l.staleReads > 0 {
		l.staleReads--
		return kv.Entry{}, false
	}
	return l.memoryReplica.ReadLocal(key)
}

func (l *laggingReplica) ReadLocalPrefix(prefix string) map[string]json.RawMessage {
	if l.staleReads > 0 {
		return nil
	}
	return l.memoryReplica.ReadLocalPrefix(prefix)
}

func (l *laggingReplica) ReadFromLeader(key string) (kv.Entry, bool, error) {
	return l.memoryReplica.ReadFromLeader(key)
}

// Guards against use that is billed twice: a replica that has not applied the whole restoration yet does not show all
// that has to be dropped.
func TestResume_WaitsForReplicaToApplyRestoration(t *testing.T) {
	replica := &laggingReplica{memoryReplica: newMemoryReplica(), staleReads: 3}
	writeReport(t, replica.memoryReplica, "a-1", usageItem{Tenant: "g", Plan: "small", MicroUnits: 3})
	dropped, err := Resume(replica, 0, time.Now())
	if err != nil || dropped.ReportItems != 1 {
		t.Errorf("dropped %+v, error %v; want one item", dropped, err)
	}
}

// writeReport writes a report with the given name.
func writeReport(t *testing.T, replica *memoryReplica, name string, items ...usageItem) {
	t.Helper()
	value, err := json.Marshal(items)
	if err != nil {
		t.Fatal(err)
	}
	if err := replica.Edit([]kv.Edit{{Key: reportPrefix + name, Value: value}}); err != nil {
		t.Fatal(err)
	}
}
