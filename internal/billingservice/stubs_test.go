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

// memoryReplica is an in-memory store with a single replica. Its calls fail at failureRate. Some of the writes that
// return an error are committed nevertheless.
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
		return errors.New("answer lost")
	}
	return err
}

// stubReceiver is an HTTP receiver of usage records that accepts a batch once per idempotency key. Its calls fail at
// failureRate, before or after it has accepted a batch.
type stubReceiver struct {
	mu              sync.Mutex
	lastSequence    uint64
	contentByKey    map[string]string             // by idempotency key
	unitsByTenant   map[string]billing.MicroUnits // by tenant
	failureRate     float64
	random          *rand.Rand
	repeatedBatches int // number of batches that were received more than once
	err             error
}

func newStubReceiver(tb testing.TB) (*stubReceiver, string) {
	tb.Helper()
	receiver := &stubReceiver{
		contentByKey:  map[string]string{},
		unitsByTenant: map[string]billing.MicroUnits{},
		random:        rand.New(rand.NewPCG(2, 2)),
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
		// The write fails if the service has ended and no longer reads the response.
		_, _ = fmt.Fprintf(w, `{"last": %d}`, r.lastSequence)
		return
	}
	if !r.accept(request) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if r.shouldFail() {
		w.WriteHeader(http.StatusInternalServerError) // the batch was accepted nevertheless
	}
}

func (r *stubReceiver) shouldFail() bool { return r.random.Float64() < r.failureRate }

// accept accepts a batch, and reports whether it is new or has the same content as before.
func (r *stubReceiver) accept(request *http.Request) bool {
	key := request.Header.Get("Idempotency-Key")
	content := ""
	var batch []billing.UsageRecord
	for lines := bufio.NewScanner(request.Body); lines.Scan(); {
		var record billing.UsageRecord
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			r.err = err
		}
		batch = append(batch, record)
		content += lines.Text()
	}
	if known, ok := r.contentByKey[key]; ok {
		r.repeatedBatches++
		return known == content
	}
	r.contentByKey[key] = content
	for _, record := range batch {
		if record.Sequence != r.lastSequence+1 {
			r.err = fmt.Errorf("record %d after %d", record.Sequence, r.lastSequence)
		}
		r.lastSequence = record.Sequence
		r.unitsByTenant[record.Tenant] += record.MicroUnits
	}
	return true
}

// total returns the units received for all tenants, and the last error found in a batch.
func (r *stubReceiver) total() (sum billing.MicroUnits, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, units := range r.unitsByTenant {
		sum += units
	}
	return sum, r.err
}

// hasTotal reports whether the sum of the units received for all tenants is want.
func (r *stubReceiver) hasTotal(want billing.MicroUnits) bool {
	sum, _ := r.total()
	return sum == want
}

func testSettings() billing.Settings {
	return billing.Settings{
		WindowNanos:           400e6,
		PlanChangeNoticeNanos: 50e6,
		ClockSkewNanos:        20e6,
		MaxLeaseNanos:         500e6,
		ExportDelayNanos:      50e6,
		Plans: map[string]billing.Quota{
			"small": {Rate: 100, Burst: 50},
			"large": {Rate: 1000, Burst: 500},
		},
	}
}

func startService(replica *memoryReplica, instance string, sink Sink) *Service {
	return Start(Options{
		Replica:                  replica,
		Instance:                 instance,
		Settings:                 testSettings,
		ReportInterval:           20 * time.Millisecond,
		ExportRetryDelay:         10 * time.Millisecond,
		MaintenanceLeaseDuration: 300 * time.Millisecond,
		Sink:                     sink,
	})
}
