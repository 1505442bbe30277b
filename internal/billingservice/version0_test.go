package billingservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// version0Start is the time at which a synctest bubble starts. The fixtures were written in such a bubble.
var version0Start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// version0At returns the time a duration after version0Start, in unix ns.
func version0At(after time.Duration) int64 { return version0Start.Add(after).UnixNano() }

// firstBatchSink is a sink that accepts only its first batch.
type firstBatchSink struct {
	FolderSink
	hasSent bool
}

func (f *firstBatchSink) Send(ctx context.Context, batch []billing.UsageRecord) error {
	if f.hasSent {
		return errors.New("only the first batch is accepted")
	}
	f.hasSent = true
	return f.FolderSink.Send(ctx, batch)
}

const version0ExportName = "use-000000000001-000000000001.jsonl"

// writeVersion0Fixtures runs a service in a synctest bubble, and writes the resulting state of the store and the
// exported file to the two paths.
func writeVersion0Fixtures(t *testing.T, storePath, exportPath string) {
	t.Helper()
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		replica := newMemoryReplica()
		service := startService(replica, "d", &firstBatchSink{FolderSink: FolderSink(folder)})
		runVersion0Workload(t, service)
		content, err := replica.state.Snapshot()
		if err == nil {
			err = os.WriteFile(storePath, content, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		service.Close()
	})
	content, err := os.ReadFile(filepath.Join(folder, version0ExportName))
	if err == nil {
		err = os.WriteFile(exportPath, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// runVersion0Workload runs operations on a service during the first 2.3 s of a synctest bubble. After it, the store
// contains an exported window, a window whose batch is in flight, an open window with a reservation, and a report that
// is not added to its account yet.
func runVersion0Workload(t *testing.T, service *Service) {
	t.Helper()
	advanceTo := func(after time.Duration) {
		time.Sleep(time.Until(version0Start.Add(after)))
		synctest.Wait()
	}
	requireNoError := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, change := range version0Account.PlanChanges {
		requireNoError(service.SchedulePlanChange("g", change))
	}
	service.RecordUsage("h", "large", time.Now(), 1.5)
	advanceTo(1250 * time.Millisecond)
	service.RecordUsage("g", "small", time.Now(), 2)
	_, err := service.Reserve("g", billing.ReservationRequest{
		ID:         "r0",
		Holder:     "gone",
		MicroUnits: 3e6,
		LeaseNanos: int64(300 * time.Millisecond),
	})
	requireNoError(err)
	advanceTo(1260 * time.Millisecond)
	account, _, err := service.Account("g", "small")
	requireNoError(err)
	requireNoError(service.Release("g", "r0", account.Reservations["r0"].Epoch))
	advanceTo(2050 * time.Millisecond)
	service.RecordUsage("g", "small", version0Start.Add(1300*time.Millisecond), 3)
	reservation, err := service.Reserve("g", billing.ReservationRequest{
		ID:         "r1",
		Holder:     "holder-1",
		MicroUnits: 20e6,
		LeaseNanos: int64(500 * time.Millisecond),
	})
	requireNoError(err)
	_, err = service.Commit("g", "r1", reservation.Epoch, 5e6)
	requireNoError(err)
	advanceTo(2255 * time.Millisecond)
	service.RecordUsage("g", "small", time.Now(), 4)
	advanceTo(2300 * time.Millisecond)
}

func loadVersion0Store(t *testing.T) *memoryReplica {
	t.Helper()
	path := testutil.Fixture(t, "store", func(path string) { writeVersion0Fixtures(t, path, path+".export") })
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	replica := newMemoryReplica()
	if replica.state, err = kv.DecodeSnapshot(content); err != nil {
		t.Fatal(err)
	}
	replica.index = replica.state.AppliedIndex()
	return replica
}

// newVersion0Service returns a service without loops, whose clock shows the time at which the fixture was written.
func newVersion0Service(replica *memoryReplica, sink Sink) *Service {
	now := version0Start.Add(2300 * time.Millisecond)
	return &Service{
		options: Options{
			Replica:                  replica,
			Instance:                 "d",
			Settings:                 testSettings,
			MaintenanceLeaseDuration: 300 * time.Millisecond,
			Sink:                     sink,
			Now:                      func() time.Time { return now },
		},
		incarnationStartNanos: version0At(0),
		stop:                  make(chan struct{}),
	}
}

// version0Incarnation is the name of the only incarnation in the fixture.
const version0Incarnation = "d-0d234ccf52430000"

// version0Account is the only account in the store's fixture.
var version0Account = billing.Account{
	Tenant: "g",
	PlanChanges: []billing.PlanChange{
		{ID: "c1", EffectiveNanos: version0At(100 * time.Millisecond), Plan: "small"},
		{ID: "c2", EffectiveNanos: version0At(time.Hour), Plan: "large"},
	},
	Windows: []billing.Window{
		{
			StartNanos:       version0At(1200 * time.Millisecond),
			UnexportedByPlan: map[string]billing.MicroUnits{"small": 3e6},
			Exported:         2e6,
		},
		{StartNanos: version0At(2000 * time.Millisecond), UnexportedByPlan: map[string]billing.MicroUnits{"small": 5e6}},
	},
	Reservations: map[string]billing.Reservation{"r1": {
		ID:               "r1",
		Plan:             "small",
		WindowStartNanos: version0At(2 * time.Second),
		Remaining:        15e6,
		ExpiresNanos:     version0At(2550 * time.Millisecond),
		Epoch:            3,
		Holder:           "holder-1",
	}},
	EndedReservations: map[string]int64{"r0": version0At(2260 * time.Millisecond)},
	Epoch:             3,
}

// version0Values maps the keys of the store's fixture to their values, as values of the current types.
var version0Values = map[string]any{
	accountPrefix + "g": version0Account,
	recordPrefix + "0000000000000002": billing.UsageRecord{
		Sequence:           2,
		Tenant:             "g",
		Plan:               "small",
		WindowStartSeconds: 946684801,
		MicroUnits:         2e6,
	},
	exportKey: exportState{NextSequence: 3, LastAcknowledged: 1, FirstSequence: 2, LastSequence: 2},
	leaseKey: maintenanceLease{
		Holder:       version0Incarnation,
		ExpiresNanos: version0At(2550 * time.Millisecond),
	},
	lastReportPrefix + version0Incarnation: reportPrefix + version0Incarnation + "-00000003",
	reportPrefix + version0Incarnation + "-00000003": []usageItem{
		{Tenant: "g", Plan: "small", WindowStartNanos: version0At(2 * time.Second), MicroUnits: 4e6},
	},
}

// TestVersion0Store_ReencodesToSameBytes checks that each value of the store's fixture can be decoded into its type,
// and is encoded again as the same bytes.
func TestVersion0Store_ReencodesToSameBytes(t *testing.T) {
	replica := loadVersion0Store(t)
	for _, key := range replica.state.Keys("") {
		if _, ok := version0Values[key]; !ok {
			entry, _ := replica.ReadLocal(key)
			t.Errorf("key %s: %s", key, entry.Value)
		}
	}
	for key, want := range version0Values {
		entry, ok := replica.ReadLocal(key)
		got := reflect.New(reflect.TypeOf(want))
		isDecoded := ok && json.Unmarshal(entry.Value, got.Interface()) == nil
		if !isDecoded || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %s, want %+v", key, entry.Value, want)
		}
		if encodedAgain, err := json.Marshal(want); err != nil || !bytes.Equal(encodedAgain, entry.Value) {
			t.Errorf("%s, encoded again (%v):\n%s\nthe fixture:\n%s", key, err, encodedAgain, entry.Value)
		}
	}
}

// TestService_ContinuesWithVersion0Store runs a service on the store's fixture. It checks that the service applies the
// plan, accepts operations on the reservations, adds the report to the account, and sends the batch in flight.
func TestService_ContinuesWithVersion0Store(t *testing.T) {
	replica := loadVersion0Store(t)
	folder := FolderSink(t.TempDir())
	service := newVersion0Service(replica, folder)
	service.planChanges.Store(&map[string][]billing.PlanChange{})
	service.KeysChanged([]string{accountPrefix + "g"})
	if plan, ok := service.TenantPlan("g"); plan != "small" || !ok {
		t.Errorf("plan %q, %v", plan, ok)
	}
	reservation, err := service.Commit("g", "r1", 3, 1e6)
	if err != nil || reservation.Remaining != 14e6 || reservation.Epoch != 4 {
		t.Errorf("a commit: %+v, %v", reservation, err)
	}
	if err := service.Release("g", "r0", 1); !errors.Is(err, billing.ErrExpired) {
		t.Errorf("a release of an ended reservation: %v", err)
	}
	if err := service.addReports(); err != nil {
		t.Fatal(err)
	}
	account, _, err := service.Account("g", "")
	reports := replica.ReadLocalPrefix(reportPrefix)
	if err != nil || len(account.Windows) != 2 || account.Windows[1].UnexportedByPlan["small"] != 10e6 ||
		len(reports) != 0 {
		t.Errorf("after the report: %+v, %v, %q", account, err, reports)
	}
	if mayHaveMore, err := service.exportBatch(context.Background()); !mayHaveMore || err != nil {
		t.Fatal(mayHaveMore, err)
	}
	content, err := os.ReadFile(filepath.Join(string(folder), "use-000000000002-000000000002.jsonl"))
	want := `{"sequence":2,"gestoria":"g","plan":"small","window_unix_s":946684801,"micro_units":2000000}` + "\n"
	if err != nil || string(content) != want {
		t.Errorf("%s, %v", content, err)
	}
	state, _, err := service.readExportState()
	if err != nil || state != (exportState{NextSequence: 3, LastAcknowledged: 2}) ||
		len(replica.ReadLocalPrefix(recordPrefix)) != 0 {
		t.Errorf("the export: %+v, %v", state, err)
	}
}

// TestFolderSink_ReadsVersion0Export uses a folder with a file of an earlier version. It checks that the folder's last
// sequence number is read from it, and that the same batch is written as the same bytes under the same name.
func TestFolderSink_ReadsVersion0Export(t *testing.T) {
	path := testutil.Fixture(t, version0ExportName, func(path string) { writeVersion0Fixtures(t, path+".store", path) })
	folder := FolderSink(filepath.Dir(path))
	if last, err := folder.LastSequence(context.Background()); last != 1 || err != nil {
		t.Error(last, err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var got billing.UsageRecord
	want := billing.UsageRecord{
		Sequence:           1,
		Tenant:             "h",
		Plan:               "large",
		WindowStartSeconds: 946684800,
		MicroUnits:         1500000,
	}
	if err := json.Unmarshal([]byte(strings.TrimSpace(string(content))), &got); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if encodedAgain := encodeBatch([]billing.UsageRecord{want}); !bytes.Equal(encodedAgain, content) {
		t.Errorf("encoded again:\n%s\nthe fixture:\n%s", encodedAgain, content)
	}
	// Send returns an error if the file of this name has different content.
	if err := folder.Send(context.Background(), []billing.UsageRecord{want}); err != nil {
		t.Error(err)
	}
	if names, err := os.ReadDir(string(folder)); err != nil || len(names) != 1 {
		t.Error(fmt.Sprint(names), err)
	}
}

// TestStoredTypes_HaveTags checks that each stored field has a JSON tag, so that renaming a Go field does not change
// the stored format.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, billing.Account{}, billing.UsageRecord{}, usageItem{}, exportState{}, maintenanceLease{})
}
