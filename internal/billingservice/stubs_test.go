package billingservice

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// memoryReplica is a store of one replica, some of whose calls fail. Of the writes that fail, some are
// committed all the same.
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
	entry, ok := m.ReadLocal(key)
	return entry, ok, nil
}

func (m *memoryReplica) shouldFail() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < m.failureRate
}

func (m *memoryReplica) ReadLocalPrefix(prefix string) map[string]json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Values(prefix)
}

func (m *memoryReplica) Edit(edits []kv.Edit) error {
	if m.shouldFail() {
		return errors.New("no leader")
	}
	command, err := kv.EncodeCommand(edits)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.index++
	_, err = m.state.Apply(m.index, command)
	m.mu.Unlock()
	if err == nil && m.shouldFail() {
		return errors.New("the answer is lost")
	}
	return err
}

// stubReceiver is a stand-in for billing's receiver. It accepts a batch by its key once. Some of its calls
// fail, before or after it has accepted a batch.
type stubReceiver struct {
	mu          sync.Mutex
	last        uint64
	keys        map[string]string        // the content by idempotency key
	sums        map[string]billing.Units // by tenant
	failureRate float64
	random      *rand.Rand
	repeated    int // batches that were received again
	err         error
}

func newStubReceiver(tb testing.TB) (*stubReceiver, string) {
	tb.Helper()
	receiver := &stubReceiver{
		keys:   map[string]string{},
		sums:   map[string]billing.Units{},
		random: rand.New(rand.NewPCG(2, 2)),
	}
	server := httptest.NewServer(receiver)
	tb.Cleanup(server.Close)
	return receiver, server.URL
}

func (r *stubReceiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shouldFail() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if request.Method == http.MethodGet {
		// A service that has ended does not read the answer.
		_, _ = fmt.Fprintf(w, `{"last": %d}`, r.last)
		return
	}
	if !r.accept(request) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if r.shouldFail() {
		w.WriteHeader(http.StatusInternalServerError) // although the batch was accepted
	}
}

func (r *stubReceiver) shouldFail() bool { return r.random.Float64() < r.failureRate }

// accept accepts a batch, and refuses one that it knows with different content.
func (r *stubReceiver) accept(request *http.Request) bool {
	key := request.Header.Get("Idempotency-Key")
	content := ""
	var batch []billing.Record
	for lines := bufio.NewScanner(request.Body); lines.Scan(); {
		var record billing.Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			r.err = err
		}
		batch = append(batch, record)
		content += lines.Text()
	}
	if known, ok := r.keys[key]; ok {
		r.repeated++
		return known == content
	}
	r.keys[key] = content
	for _, record := range batch {
		if record.Sequence != r.last+1 {
			r.err = fmt.Errorf("record %d after %d", record.Sequence, r.last)
		}
		r.last = record.Sequence
		r.sums[record.Tenant] += record.Units
	}
	return true
}

// total returns the units received for all tenants, and the last fault found in a batch.
func (r *stubReceiver) total() (sum billing.Units, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, units := range r.sums {
		sum += units
	}
	return sum, r.err
}

// hasTotal reports whether the units received for all tenants amount to want.
func (r *stubReceiver) hasTotal(want billing.Units) bool {
	sum, _ := r.total()
	return sum == want
}

func testSettings() billing.Settings {
	return billing.Settings{
		WindowNanos:       400e6,
		ChangeNoticeNanos: 50e6,
		ClockSkewNanos:    20e6,
		MaxLeaseNanos:     500e6,
		ExportDelayNanos:  50e6,
		Plans: map[string]billing.Quota{
			"small": {Rate: 100, Burst: 50},
			"large": {Rate: 1000, Burst: 500},
		},
	}
}

func startService(replica *memoryReplica, instance string, sink Sink) *Service {
	return Start(Options{
		Replica:        replica,
		Instance:       instance,
		Settings:       testSettings,
		ReportInterval: 20 * time.Millisecond,
		RetryDelay:     10 * time.Millisecond,
		LeaseDuration:  300 * time.Millisecond,
		Sink:           sink,
	})
}
