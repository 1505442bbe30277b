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

// snapshot returns a copy of a replica's state.
func snapshot(t *testing.T, replica *memoryReplica) []byte {
	t.Helper()
	replica.mu.Lock()
	defer replica.mu.Unlock()
	content, err := replica.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// restore replaces a replica's state with a snapshot. The log continues after its last index.
func restore(t *testing.T, replica *memoryReplica, content []byte) {
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

// TestExport_OldCopyExportsNothingAnew restores the store from an old copy. Nothing is exported until Resume
// is given the last sequence to continue after, and what may have been exported before is not exported again.
func TestExport_OldCopyExportsNothingAnew(t *testing.T) {
	replica := newMemoryReplica()
	receiver, url := newStubReceiver(t)
	service := startService(replica, "d", NewReceiver(url))
	use := func(service *Service, units float64) { service.RecordUsage("g", "small", time.Now(), units) }
	use(service, 5)
	testutil.Eventually(t, "a first export", func() bool { return receiver.hasTotal(5e6) })
	use(service, 6)
	time.Sleep(100 * time.Millisecond) // reported and committed, and its window is open
	testutil.Eventually(t, "the report to be committed", func() bool {
		return len(replica.ReadLocalPrefix(reportPrefix)) == 0 && len(replica.ReadLocalPrefix(accountPrefix)) == 1
	})
	oldCopy := snapshot(t, replica)
	use(service, 2)
	testutil.Eventually(t, "a second export", func() bool { return receiver.hasTotal(13e6) })
	service.Close()
	restore(t, replica, oldCopy)
	service = startService(replica, "d", NewReceiver(url))
	defer service.Close()
	testutil.Eventually(t, "a halt", func() bool {
		reason := service.LastExportError()
		return strings.Contains(reason, "old copy") || strings.Contains(reason, "409")
	})
	if sum, err := receiver.total(); sum != 13e6 || err != nil {
		t.Errorf("%v exported anew, %v", sum, err)
	}
	if _, err := Resume(replica, receiver.last, time.Now()); err != nil {
		t.Fatal(err)
	}
	use(service, 7)
	testutil.Eventually(t, "an export after it", func() bool { return receiver.hasTotal(20e6) })
	if _, err := receiver.total(); err != nil {
		t.Error(err)
	}
	if _, err := Resume(replica, 0, time.Now()); err == nil {
		t.Error("Resume accepted a sequence before the last one exported")
	}
}

// TestExport_ManyWindowsEndTogether ends the windows of 2,000 tenants at once. Their records are numbered in
// a few writes and exported in order.
func TestExport_ManyWindowsEndTogether(t *testing.T) {
	replica := newMemoryReplica()
	receiver, url := newStubReceiver(t)
	service := startService(replica, "d", NewReceiver(url))
	defer service.Close()
	began := replica.index
	for n := range 2000 {
		service.RecordUsage(fmt.Sprintf("g%04d", n), "small", time.Now(), 1)
	}
	testutil.Eventually(t, "all to be exported", func() bool { return receiver.hasTotal(2000e6) })
	replica.mu.Lock()
	writes := replica.index - began
	replica.mu.Unlock()
	if _, err := receiver.total(); err != nil || receiver.last != 2000 || writes > 200 {
		t.Errorf("%v; %d records, %d writes", err, receiver.last, writes)
	}
}

func TestFolder_AcceptsBatchOnce(t *testing.T) {
	folder := Folder(t.TempDir())
	batch := []billing.Record{
		{Sequence: 3, Tenant: "g", Plan: "p", WindowStartSeconds: 60, Units: 5},
		{Sequence: 4, Tenant: "h", Plan: "p", WindowStartSeconds: 60, Units: 6},
	}
	for range 2 {
		if err := folder.Send(t.Context(), batch); err != nil {
			t.Fatal(err)
		}
	}
	if last, err := folder.Last(t.Context()); err != nil || last != 4 {
		t.Error(last, err)
	}
	content, err := os.ReadFile(filepath.Join(string(folder), "use-000000000003-000000000004.jsonl"))
	want := `{"sequence":3,"gestoria":"g","plan":"p","window_unix_s":60,"micro_units":5}` + "\n" +
		`{"sequence":4,"gestoria":"h","plan":"p","window_unix_s":60,"micro_units":6}` + "\n"
	if err != nil || string(content) != want {
		t.Errorf("%v: %s", err, content)
	}
	batch[0].Units++
	if err := folder.Send(t.Context(), batch); err == nil {
		t.Error("another content under the same name was accepted")
	}
	if _, err := Folder(string(folder) + "/none").Last(t.Context()); err == nil {
		t.Error("a missing folder was accepted")
	}
}

// conflictOnce is a replica at which the first edit of an account meets a conflict.
type conflictOnce struct {
	*memoryReplica
	conflicted bool
}

func (c *conflictOnce) Edit(edits []kv.Edit) error {
	if !c.conflicted && strings.HasPrefix(edits[0].Key, accountPrefix) {
		c.conflicted = true
		return kv.ConflictError{Key: edits[0].Key}
	}
	return c.memoryReplica.Edit(edits)
}

// TestResume_CountsAWindowOnce guards against a report that is too high: where an account changed while its windows
// were dropped, they were counted again.
func TestResume_CountsAWindowOnce(t *testing.T) {
	replica := &conflictOnce{memoryReplica: newMemoryReplica()}
	account := billing.Account{Tenant: "0000000000000005"}
	account.Windows = []billing.Window{{StartNanos: 1, Used: map[string]billing.Units{"team": 5}}}
	if err := (&Service{options: Options{Replica: replica.memoryReplica}}).writeAccount(account, 0); err != nil {
		t.Fatal(err)
	}
	dropped, err := Resume(replica, 0, time.Now())
	if err != nil || !replica.conflicted || dropped.Windows != 1 {
		t.Errorf("%+v, %v, conflict met: %t", dropped, err, replica.conflicted)
	}
}
