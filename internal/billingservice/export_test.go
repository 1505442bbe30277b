package billingservice

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// takeSnapshot returns a snapshot of a replica's state.
func takeSnapshot(t *testing.T, replica *memoryReplica) []byte {
	t.Helper()
	replica.mu.Lock()
	defer replica.mu.Unlock()
	content, err := replica.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// restoreSnapshot replaces a replica's state with a snapshot. Later writes get higher indices than all earlier ones.
func restoreSnapshot(t *testing.T, replica *memoryReplica, content []byte) {
	t.Helper()
	state, err := kv.DecodeSnapshot(content)
	if err != nil {
		t.Fatal(err)
	}
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.state = state
	replica.index += 10
}

// TestExport_RestoredBackupExportsNothingTwice restores the store from an old backup. It checks that nothing is
// exported until Resume is called with the receiver's last sequence number, and that usage which may have been exported
// before is not exported again.
func TestExport_RestoredBackupExportsNothingTwice(t *testing.T) {
	replica := newMemoryReplica()
	receiver, url := newStubReceiver(t)
	service := startService(replica, "d", NewHTTPSink(url))
	recordUsage := func(service *Service, units float64) { service.RecordUsage("g", "small", time.Now(), units) }
	recordUsage(service, 5)
	testutil.Eventually(t, "a first export", func() bool { return receiver.hasTotal(5e6) })
	recordUsage(service, 6)
	time.Sleep(100 * time.Millisecond) // longer than ReportInterval and shorter than a window
	testutil.Eventually(t, "the report to be committed", func() bool {
		return len(replica.ReadLocalPrefix(reportPrefix)) == 0 && len(replica.ReadLocalPrefix(accountPrefix)) == 1
	})
	oldBackup := takeSnapshot(t, replica)
	recordUsage(service, 2)
	testutil.Eventually(t, "a second export", func() bool { return receiver.hasTotal(13e6) })
	service.Close()
	restoreSnapshot(t, replica, oldBackup)
	service = startService(replica, "d", NewHTTPSink(url))
	defer service.Close()
	testutil.Eventually(t, "the export to halt", func() bool {
		reason := service.LastExportError()
		return strings.Contains(reason, "old backup") || strings.Contains(reason, "409")
	})
	if sum, err := receiver.total(); sum != 13e6 || err != nil {
		t.Errorf("%v received after the restoration, want 13e6: %v", sum, err)
	}
	if _, err := Resume(replica, receiver.lastSequence, time.Now()); err != nil {
		t.Fatal(err)
	}
	recordUsage(service, 7)
	testutil.Eventually(t, "an export after Resume", func() bool { return receiver.hasTotal(20e6) })
	if _, err := receiver.total(); err != nil {
		t.Error(err)
	}
	if _, err := Resume(replica, 0, time.Now()); err == nil {
		t.Error("Resume accepted a sequence before the last one exported")
	}
}

// TestExport_BatchesRecordsOfManyWindowsEndingTogether ends the windows of 2,000 tenants at the same time. It checks
// that their records are numbered in few writes and exported in order.
func TestExport_BatchesRecordsOfManyWindowsEndingTogether(t *testing.T) {
	replica := newMemoryReplica()
	receiver, url := newStubReceiver(t)
	service := startService(replica, "d", NewHTTPSink(url))
	defer service.Close()
	startIndex := replica.index
	for n := range 2000 {
		service.RecordUsage(fmt.Sprintf("g%04d", n), "small", time.Now(), 1)
	}
	testutil.Eventually(t, "all to be exported", func() bool { return receiver.hasTotal(2000e6) })
	replica.mu.Lock()
	writes := replica.index - startIndex
	replica.mu.Unlock()
	if _, err := receiver.total(); err != nil || receiver.lastSequence != 2000 || writes > 200 {
		t.Errorf("%v; %d records, %d writes", err, receiver.lastSequence, writes)
	}
}

func TestFolderSink_AcceptsRepeatedBatch(t *testing.T) {
	folder := FolderSink(t.TempDir())
	batch := []billing.UsageRecord{
		{Sequence: 3, Tenant: "g", Plan: "p", WindowStartSeconds: 60, MicroUnits: 5},
		{Sequence: 4, Tenant: "h", Plan: "p", WindowStartSeconds: 60, MicroUnits: 6},
	}
	for range 2 {
		if err := folder.Send(t.Context(), batch); err != nil {
			t.Fatal(err)
		}
	}
	if last, err := folder.LastSequence(t.Context()); err != nil || last != 4 {
		t.Error(last, err)
	}
	content, err := os.ReadFile(filepath.Join(string(folder), "use-000000000003-000000000004.jsonl"))
	want := `{"sequence":3,"gestoria":"g","plan":"p","window_unix_s":60,"micro_units":5}` + "\n" +
		`{"sequence":4,"gestoria":"h","plan":"p","window_unix_s":60,"micro_units":6}` + "\n"
	if err != nil || string(content) != want {
		t.Errorf("%v: %s", err, content)
	}
	batch[0].MicroUnits++
	if err := folder.Send(t.Context(), batch); err == nil {
		t.Error("a batch with the same sequence numbers and different content was accepted")
	}
	if _, err := FolderSink(string(folder) + "/none").LastSequence(t.Context()); err == nil {
		t.Error("a missing folder was accepted")
	}
}

// conflictOnceReplica is a replica on which the first write of an account fails with a conflict.
type conflictOnceReplica struct {
	*memoryReplica
	hasConflicted bool
}

func (c *conflictOnceReplica) Edit(edits []kv.Edit) error {
	if !c.hasConflicted && strings.HasPrefix(edits[0].Key, accountPrefix) {
		c.hasConflicted = true
		return kv.ConflictError{Key: edits[0].Key}
	}
	return c.memoryReplica.Edit(edits)
}

// TestResume_CountsDroppedWindowOnceAfterConflict guards against a count of dropped windows that is too high. When the
// write of an account met a conflict and was retried, its windows were counted once per attempt.
func TestResume_CountsDroppedWindowOnceAfterConflict(t *testing.T) {
	replica := &conflictOnceReplica{memoryReplica: newMemoryReplica()}
	account := billing.Account{Tenant: "0000000000000005"}
	account.Windows = []billing.Window{{StartNanos: 1, UnexportedByPlan: map[string]billing.MicroUnits{"team": 5}}}
	if err := (&Service{options: Options{Replica: replica.memoryReplica}}).writeAccount(account, 0); err != nil {
		t.Fatal(err)
	}
	dropped, err := Resume(replica, 0, time.Now())
	if err != nil || !replica.hasConflicted || dropped.Windows != 1 {
		t.Errorf("%+v, %v, conflict occurred: %t", dropped, err, replica.hasConflicted)
	}
}
