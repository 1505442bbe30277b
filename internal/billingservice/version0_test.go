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

// version0Start is when a synctest bubble begins, where the fixtures were written.
var version0Start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// version0At returns the moment so long after version0Start, in unix ns.
func version0At(after time.Duration) int64 { return version0Start.Add(after).UnixNano() }

// firstBatchFolder is a sink that accepts its first batch, and then no more.
type firstBatchFolder struct {
	Folder
	sent bool
}

func (f *firstBatchFolder) Send(ctx context.Context, batch []billing.Record) error {
	if f.sent {
		return errors.New("no more")
	}
	f.sent = true
	return f.Folder.Send(ctx, batch)
}

const version0Export = "use-000000000001-000000000001.jsonl"

// writeVersion0 lets a service work in a bubble's time, and writes the state of the store and the exported file
// to the two paths.
func writeVersion0(t *testing.T, store, export string) {
	t.Helper()
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		replica := newMemoryReplica()
		service := startService(replica, "d", &firstBatchFolder{Folder: Folder(folder)})
		useVersion0(t, service)
		content, err := replica.state.Snapshot()
		if err == nil {
			err = os.WriteFile(store, content, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		service.Close()
	})
	content, err := os.ReadFile(filepath.Join(folder, version0Export))
	if err == nil {
		err = os.WriteFile(export, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// useVersion0 uses a service for the first 2.3 s of a bubble's time. After it, the store has a window that is
// exported, one that is being sent, one that is open with a reservation in it, and a report that is not
// committed yet.
func useVersion0(t *testing.T, service *Service) {
	t.Helper()
	until := func(after time.Duration) {
		time.Sleep(time.Until(version0Start.Add(after)))
		synctest.Wait()
	}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, change := range version0Account.Changes {
		must(service.SchedulePlanChange("g", change))
	}
	service.RecordUsage("h", "large", time.Now(), 1.5)
	until(1250 * time.Millisecond)
	service.RecordUsage("g", "small", time.Now(), 2)
	_, err := service.Reserve("g", billing.ReservationRequest{
		ID:         "r0",
		Holder:     "gone",
		Units:      3e6,
		LeaseNanos: int64(300 * time.Millisecond),
	})
	must(err)
	until(1260 * time.Millisecond)
	account, _, err := service.Account("g", "small")
	must(err)
	must(service.Release("g", "r0", account.Reservations["r0"].Epoch))
	until(2050 * time.Millisecond)
	service.RecordUsage("g", "small", version0Start.Add(1300*time.Millisecond), 3)
	reservation, err := service.Reserve("g", billing.ReservationRequest{
		ID:         "r1",
		Holder:     "holder-1",
		Units:      20e6,
		LeaseNanos: int64(500 * time.Millisecond),
	})
	must(err)
	_, err = service.Commit("g", "r1", reservation.Epoch, 5e6)
	must(err)
	until(2255 * time.Millisecond)
	service.RecordUsage("g", "small", time.Now(), 4)
	until(2300 * time.Millisecond)
}

func version0Store(t *testing.T) *memoryReplica {
	t.Helper()
	path := testutil.Fixture(t, "store", func(path string) { writeVersion0(t, path, path+".export") })
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

// newVersion0Service is a service without its loops at the moment at which the fixture was written.
func newVersion0Service(replica *memoryReplica, sink Sink) *Service {
	now := version0Start.Add(2300 * time.Millisecond)
	return &Service{
		options: Options{
			Replica:       replica,
			Instance:      "d",
			Settings:      testSettings,
			LeaseDuration: 300 * time.Millisecond,
			Sink:          sink,
			Now:           func() time.Time { return now },
		},
		incarnationNanos: version0At(0),
		stop:             make(chan struct{}),
	}
}

// version0Incarnation is the name of the fixture's one incarnation.
const version0Incarnation = "d-0d234ccf52430000"

// version0Account is the account in the store's fixture.
var version0Account = billing.Account{
	Tenant: "g",
	Changes: []billing.PlanChange{
		{ID: "c1", EffectiveNanos: version0At(100 * time.Millisecond), Plan: "small"},
		{ID: "c2", EffectiveNanos: version0At(time.Hour), Plan: "large"},
	},
	Windows: []billing.Window{
		{
			StartNanos: version0At(1200 * time.Millisecond),
			Used:       map[string]billing.Units{"small": 3e6},
			Exported:   2e6,
		},
		{StartNanos: version0At(2000 * time.Millisecond), Used: map[string]billing.Units{"small": 5e6}},
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

// version0Values are what the store's fixture holds, as values of the current types.
var version0Values = map[string]any{
	accountPrefix + "g": version0Account,
	recordPrefix + "0000000000000002": billing.Record{
		Sequence:           2,
		Tenant:             "g",
		Plan:               "small",
		WindowStartSeconds: 946684801,
		Units:              2e6,
	},
	exportKey: exportState{Next: 3, Acked: 1, First: 2, Last: 2},
	leaseKey: maintenanceLease{
		Holder:       version0Incarnation,
		ExpiresNanos: version0At(2550 * time.Millisecond),
	},
	lastReportPrefix + version0Incarnation: reportPrefix + version0Incarnation + "-00000003",
	reportPrefix + version0Incarnation + "-00000003": []usageItem{
		{Tenant: "g", Plan: "small", WindowStartNanos: version0At(2 * time.Second), Units: 4e6},
	},
}

// TestVersion0Store_IsWrittenAsTheSameBytes decodes each value of the store's fixture into its type, and
// encodes it again as the same bytes.
func TestVersion0Store_IsWrittenAsTheSameBytes(t *testing.T) {
	replica := version0Store(t)
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
			t.Errorf("%s: %s, and not %+v", key, entry.Value, want)
		}
		if again, err := json.Marshal(want); err != nil || !bytes.Equal(again, entry.Value) {
			t.Errorf("%s, written anew (%v):\n%s\nthe fixture:\n%s", key, err, again, entry.Value)
		}
	}
}

// TestService_ContinuesWithVersion0Store lets a service continue with the store's fixture: it knows the plan
// and the reservation, commits the report, and sends the batch that was fixed.
func TestService_ContinuesWithVersion0Store(t *testing.T) {
	replica := version0Store(t)
	folder := Folder(t.TempDir())
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
		t.Errorf("a release of what had ended: %v", err)
	}
	if err := service.addReports(); err != nil {
		t.Fatal(err)
	}
	account, _, err := service.Account("g", "")
	reports := replica.ReadLocalPrefix(reportPrefix)
	if err != nil || len(account.Windows) != 2 || account.Windows[1].Used["small"] != 10e6 || len(reports) != 0 {
		t.Errorf("after the report: %+v, %v, %q", account, err, reports)
	}
	if mayHaveMore, err := service.exportBatch(context.Background()); !mayHaveMore || err != nil {
		t.Fatal(mayHaveMore, err)
	}
	text, err := os.ReadFile(filepath.Join(string(folder), "use-000000000002-000000000002.jsonl"))
	want := `{"sequence":2,"gestoria":"g","plan":"small","window_unix_s":946684801,"micro_units":2000000}` + "\n"
	if err != nil || string(text) != want {
		t.Errorf("%s, %v", text, err)
	}
	state, _, err := service.readExportState()
	if err != nil || state != (exportState{Next: 3, Acked: 2}) || len(replica.ReadLocalPrefix(recordPrefix)) != 0 {
		t.Errorf("the export: %+v, %v", state, err)
	}
}

// TestFolder_ReadsVersion0Export uses a folder with a file of an earlier version. Its last sequence is known,
// and the same batch is written as the same bytes under the same name.
func TestFolder_ReadsVersion0Export(t *testing.T) {
	path := testutil.Fixture(t, version0Export, func(path string) { writeVersion0(t, path+".store", path) })
	folder := Folder(filepath.Dir(path))
	if last, err := folder.Last(context.Background()); last != 1 || err != nil {
		t.Error(last, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var got billing.Record
	want := billing.Record{
		Sequence:           1,
		Tenant:             "h",
		Plan:               "large",
		WindowStartSeconds: 946684800,
		Units:              1500000,
	}
	if err := json.Unmarshal([]byte(strings.TrimSpace(string(text))), &got); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if again := encodeBatch([]billing.Record{want}); !bytes.Equal(again, text) {
		t.Errorf("written anew:\n%s\nthe fixture:\n%s", again, text)
	}
	// Send fails if the file of this name has another content.
	if err := folder.Send(context.Background(), []billing.Record{want}); err != nil {
		t.Error(err)
	}
	if names, err := os.ReadDir(string(folder)); err != nil || len(names) != 1 {
		t.Error(fmt.Sprint(names), err)
	}
}

// TestStoredTypes_HaveTags checks that a tag, not the Go field name, names each stored field.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, billing.Account{}, billing.Record{}, usageItem{}, exportState{}, maintenanceLease{})
}
