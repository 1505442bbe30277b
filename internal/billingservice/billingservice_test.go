package billingservice

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// memory is a store of one replica. Some writes land and give an error all the same, others do not land.
type memoryReplica struct {
	mu          sync.Mutex
	state       *kv.State
	index       kv.Index
	random      *rand.Rand
	failureRate float64
}

func newMemoryReplica() *memoryReplica {
	return &memoryReplica{state: kv.New(), random: rand.New(rand.NewPCG(1, 1))}
}

func (m *memoryReplica) ReadLocal(key string) (kv.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Get(key)
}

func (m *memoryReplica) ReadFromLeader(key string) (kv.Entry, bool, error) {
	if m.shouldFail() {
		return kv.Entry{}, false, errors.New("no leader")
	}
	e, ok := m.ReadLocal(key)
	return e, ok, nil
}

func (m *memoryReplica) shouldFail() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < m.failureRate
}

func (m *memoryReplica) ReadPrefix(prefix string) map[string]json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]json.RawMessage{}
	for _, k := range m.state.Keys(prefix) {
		e, _ := m.state.Get(k)
		all[strings.TrimPrefix(k, prefix)] = e.Value
	}
	return all
}

func (m *memoryReplica) Edit(edits []kv.Edit) error {
	if m.shouldFail() {
		return errors.New("no leader")
	}
	c, err := kv.Encode(edits)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.index++
	_, err = m.state.Apply(m.index, c)
	m.mu.Unlock()
	if err == nil && m.shouldFail() {
		return errors.New("the answer is lost")
	}
	return err
}

// receiver is a stand-in for billing's: it takes a batch by its key once, and is down, slow, or answers an error after
// having taken one.
type stubReceiver struct {
	mu          sync.Mutex
	last        uint64
	keys        map[string]string
	sums        map[string]billing.Units // by gestoría
	failureRate float64
	random      *rand.Rand
	repeated    int // batches that came again
	err         error
}

func newStubReceiver(t testing.TB) (*stubReceiver, string) {
	r := &stubReceiver{keys: map[string]string{}, sums: map[string]billing.Units{}, random: rand.New(rand.NewPCG(2, 2))}
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return r, s.URL
}

func (r *stubReceiver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() < r.failureRate {
		w.WriteHeader(503)
		return
	}
	if q.Method == "GET" {
		fmt.Fprintf(w, `{"last": %d}`, r.last)
		return
	}
	key, text := q.Header.Get("Idempotency-Key"), ""
	var batch []billing.Record
	for in := bufio.NewScanner(q.Body); in.Scan(); {
		var x billing.Record
		if err := json.Unmarshal(in.Bytes(), &x); err != nil {
			r.err = err
		}
		batch, text = append(batch, x), text+in.Text()
	}
	if old, ok := r.keys[key]; ok {
		if r.repeated++; old != text {
			w.WriteHeader(409)
			return
		}
	} else {
		r.keys[key] = text
		for _, x := range batch {
			if x.Sequence != r.last+1 {
				r.err = fmt.Errorf("record %d after %d", x.Sequence, r.last)
			}
			r.last = x.Sequence
			r.sums[x.Tenant] += x.Units
		}
	}
	if r.random.Float64() < r.failureRate {
		w.WriteHeader(500) // it has taken it
	}
}

func (r *stubReceiver) total() (sum billing.Units, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.sums {
		sum += u
	}
	return sum, r.err
}

func testSettings() billing.Settings {
	return billing.Settings{WindowNanos: 400e6, ChangeNoticeNanos: 50e6, ClockSkewNanos: 20e6, MaxLeaseNanos: 500e6, ExportDelayNanos: 50e6, Plans: map[string]billing.Quota{"small": {Rate: 100, Peak: 50}, "large": {Rate: 1000, Peak: 500}}}
}

func startService(m *memoryReplica, door string, sink Sink) *Service {
	return Start(Options{Replica: m, Instance: door, Settings: testSettings, ReportInterval: 20 * time.Millisecond, RetryDelay: 10 * time.Millisecond, LeaseDuration: 300 * time.Millisecond, Sink: sink})
}

func wait(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

// Three doors report use and reserve, the store's writes fail before or after they land, the receiver fails before or
// after it has taken a batch, and desks end without a word and start anew. What the receiver has in the end is what
// was reported and committed, to the millionth, each record once and in order.
func TestTotalsThroughFailures(t *testing.T) {
	m := newMemoryReplica()
	m.failureRate = 0.1
	r, url := newStubReceiver(t)
	r.failureRate = 0.3
	sure, perhaps := billing.Units(0), billing.Units(0)
	var mu sync.Mutex
	add := func(to *billing.Units, n billing.Units) {
		mu.Lock()
		*to += n
		mu.Unlock()
	}
	var wg sync.WaitGroup
	for n := range 3 {
		wg.Go(func() {
			chance := rand.New(rand.NewPCG(uint64(n), 9))
			for life := range 3 {
				d := startService(m, fmt.Sprint("d", n), NewReceiver(url))
				taken := billing.Units(0)
				for i := range 30 {
					g := fmt.Sprintf("g%d", chance.IntN(4))
					d.RecordUsage(g, "small", time.Now().Add(-time.Duration(chance.IntN(500))*time.Millisecond), 1.5)
					taken += 1500000
					if i%5 != 0 {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					id := fmt.Sprintf("%d-%d-%d", n, life, i)
					h, err := d.Reserve(g, id, "me", "large", 3e6, 400*time.Millisecond)
					if err != nil {
						continue
					}
					switch _, err := d.Commit(g, id, h.Epoch, 2e6); {
					case err == nil:
						add(&sure, 2e6)
					case errors.Is(err, ErrStore): // asked again, it is done once
						a, _, err := d.Account(g, "large")
						for ; err != nil; a, _, err = d.Account(g, "large") {
						}
						if h, ok := a.Reservations[id]; !ok { // it is over by now
							add(&perhaps, 2e6)
						} else if h.Remaining == 1e6 {
							add(&sure, 2e6)
						}
					case errors.Is(err, billing.ErrStaleEpoch): // it landed, and its answer was lost
						add(&sure, 2e6)
					case !errors.Is(err, billing.ErrExpired):
						t.Error(err)
					}
				}
				if life == 1 { // ends without a word: what it had not reported is lost, and no more
					close(d.stop)
					d.loops.Wait()
					d.mu.Lock()
					left := billing.Units(0)
					for _, u := range d.usage {
						left += u
					}
					for _, x := range d.pending { // it may have landed
						left += x.Units
					}
					d.mu.Unlock()
					add(&sure, taken-left)
					add(&perhaps, left) // its last report may have landed
				} else {
					d.Close()
					add(&sure, taken)
				}
			}
		})
	}
	wg.Wait()
	d := startService(m, "clerk", NewReceiver(url))
	defer d.Close()
	wait(t, "all to be exported", func() bool {
		left := d.PendingRecords()
		accounts := m.ReadPrefix(accountPrefix)
		open := 0
		for _, text := range accounts {
			var a billing.Account
			json.Unmarshal(text, &a)
			for _, w := range a.Windows {
				open += len(w.Used)
			}
			open += len(a.Reservations)
		}
		return left == 0 && open == 0 && len(m.ReadPrefix(reportPrefix)) == 0
	})
	got, err := r.total()
	if err != nil || got < sure || got > sure+perhaps || r.repeated == 0 {
		t.Errorf("%v: the receiver has %v; sure %v, and perhaps %v; %d batches came again", err, got, sure, perhaps, r.repeated)
	}
	t.Logf("%.1f units in %d records, %d batches came again", got.Float(), r.last, r.repeated)
}

// A reservation whose holder is gone returns within its lease, the clocks' difference and a sweep, and not before: at the
// first sweep of the door that is left. The clock is a bubble's, which moves only while all wait: the moments are exact,
// however busy the machine is.
func TestReservationsReturnInTheirTime(t *testing.T) {
	const lease = 300 * time.Millisecond
	due := lease + time.Duration(testSettings().ClockSkewNanos)
	last := CompactionInterval - due // reserved so long after the start of the door that is left, it is over just at its first sweep
	for name, c := range map[string]struct {
		after, want time.Duration // from the other door's start to the reservation; from that to its return
	}{
		"as the other starts":     {0, CompactionInterval},
		"just before a sweep":     {last - 1, due + 1},
		"at a sweep":              {last, due},
		"just after a sweep":      {last + 1, due + CompactionInterval - 1},
		"in the middle":           {last + CompactionInterval/2, due + CompactionInterval/2},
		"after many sweeps":       {20*CompactionInterval + last + 1, due + CompactionInterval - 1},
		"before the other starts": {-20 * time.Millisecond, CompactionInterval + 20*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryReplica()
				var other *Service
				if c.after >= 0 {
					other = startService(m, "e", nil)
					time.Sleep(c.after)
				}
				began := time.Now()
				d := startService(m, "d", nil)
				if _, err := d.Reserve("g", "r", "gone", "small", 10e6, lease); err != nil {
					t.Fatal(err)
				}
				old := markPrefix + "d-0000000000000001" // of a life of long ago: goes with the first report
				m.Edit([]kv.Edit{{Key: old, Value: []byte(`"x"`)}})
				d.RecordUsage("g", "small", time.Now(), 1)
				time.Sleep(20 * time.Millisecond) // until its first report
				synctest.Wait()
				if _, there := m.ReadLocal(old); there || len(m.ReadPrefix(markPrefix)) != 1 {
					t.Errorf("marks after the first report: %v", m.ReadPrefix(markPrefix))
				}
				d.Close()
				if other == nil {
					other = startService(m, "e", nil)
				}
				defer other.Close()
				held := func() bool {
					a, _, err := other.Account("g", "small")
					if err != nil {
						t.Error(err)
					}
					return len(a.Reservations) > 0
				}
				time.Sleep(time.Until(began.Add(c.want - 1)))
				synctest.Wait()
				if !held() {
					t.Errorf("returned before %v", c.want)
				}
				time.Sleep(1)
				synctest.Wait()
				if held() {
					t.Errorf("not returned after %v", c.want)
				}
			})
		})
	}
}

// The store put back to an old copy: nothing is exported anew until somebody says from where, and what may have been
// exported is not exported again then.
func TestAnOldCopyExportsNothingAnew(t *testing.T) {
	m := newMemoryReplica()
	r, url := newStubReceiver(t)
	d := startService(m, "d", NewReceiver(url))
	use := func(d *Service, n float64) { d.RecordUsage("g", "small", time.Now(), n) }
	use(d, 5)
	wait(t, "a first export", func() bool { sum, _ := r.total(); return sum == 5e6 })
	use(d, 6)
	time.Sleep(100 * time.Millisecond) // reported and folded, and its window is open
	wait(t, "the report to be folded", func() bool { return len(m.ReadPrefix(reportPrefix)) == 0 && len(m.ReadPrefix(accountPrefix)) == 1 })
	m.mu.Lock()
	old, err := m.state.Snapshot()
	m.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	use(d, 2)
	wait(t, "a second export", func() bool { sum, _ := r.total(); return sum == 13e6 })
	d.Close()
	m.mu.Lock()
	m.state, _ = kv.Load(old)
	m.index += 10
	m.mu.Unlock()
	d = startService(m, "d", NewReceiver(url))
	defer d.Close()
	wait(t, "a halt", func() bool {
		return strings.Contains(d.HaltReason(), "old copy") || strings.Contains(d.HaltReason(), "409")
	})
	if sum, bad := r.total(); sum != 13e6 || bad != nil {
		t.Errorf("%v exported anew, %v", sum, bad)
	}
	if _, _, err := Resume(m, r.last, time.Now()); err != nil {
		t.Fatal(err)
	}
	use(d, 7)
	wait(t, "an export after it", func() bool { sum, _ := r.total(); return sum == 20e6 })
	if _, bad := r.total(); bad != nil {
		t.Error(bad)
	}
	if _, _, err := Resume(m, 0, time.Now()); err == nil {
		t.Error("it may go back behind what is exported")
	}
}

// Windows of all gestorías end together: thousands of records are numbered in a few writes and exported in order.
func TestManyWindowsEndTogether(t *testing.T) {
	m := newMemoryReplica()
	r, url := newStubReceiver(t)
	d := startService(m, "d", NewReceiver(url))
	defer d.Close()
	began := m.index
	for n := range 2000 {
		d.RecordUsage(fmt.Sprintf("g%04d", n), "small", time.Now(), 1)
	}
	wait(t, "all to be exported", func() bool { sum, _ := r.total(); return sum == 2000e6 })
	m.mu.Lock()
	writes := m.index - began
	m.mu.Unlock()
	if _, bad := r.total(); bad != nil || r.last != 2000 || writes > 200 {
		t.Errorf("%v; %d records, %d writes", bad, r.last, writes)
	}
}

func TestFolderTakesABatchOnce(t *testing.T) {
	f := Folder(t.TempDir())
	batch := []billing.Record{{Sequence: 3, Tenant: "g", Plan: "p", WindowStartSeconds: 60, Units: 5}, {Sequence: 4, Tenant: "h", Plan: "p", WindowStartSeconds: 60, Units: 6}}
	for range 2 {
		if err := f.Send(context.Background(), batch); err != nil {
			t.Fatal(err)
		}
	}
	if last, err := f.Last(context.Background()); err != nil || last != 4 {
		t.Error(last, err)
	}
	text, err := os.ReadFile(filepath.Join(string(f), "use-000000000003-000000000004.jsonl"))
	if err != nil || string(text) != `{"sequence":3,"gestoria":"g","plan":"p","window_unix_s":60,"micro_units":5}`+"\n"+`{"sequence":4,"gestoria":"h","plan":"p","window_unix_s":60,"micro_units":6}`+"\n" {
		t.Errorf("%v: %s", err, text)
	}
	batch[0].Units++
	if err := f.Send(context.Background(), batch); err == nil {
		t.Error("another text under the same name")
	}
	if _, err := Folder(string(f) + "/none").Last(context.Background()); err == nil {
		t.Error("a folder that is not there")
	}
}
