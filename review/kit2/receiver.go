package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// usageRecord is one exported record of use.
type usageRecord struct {
	Sequence   uint64 `json:"sequence"`
	Tenant     string `json:"gestoria"`
	Plan       string `json:"plan"`
	MicroUnits int64  `json:"micro_units"`
}

// receiver is a stand-in for the operators' billing: it counts each batch once, and tells its last sequence number.
type receiver struct {
	world   *world
	address string

	mu      sync.Mutex
	batches map[string]string // the lines of each batch, by idempotency key
	last    uint64
	micros  map[string]int64 // by tenant
}

const usePath = "/use"

func (w *world) startReceiver() *receiver {
	r := &receiver{world: w, address: w.freeAddress(), batches: map[string]string{}, micros: map[string]int64{}}
	server := &http.Server{Addr: r.address, Handler: http.HandlerFunc(r.serve)}
	go func() { _ = server.ListenAndServe() }()
	return r
}

func (r *receiver) serve(out http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch {
	case request.Method == http.MethodGet:
		r.answer(out, request, http.StatusOK, fmt.Sprintf("{\"last\": %d}", r.last))
	case request.Method == http.MethodPost:
		r.take(out, request, body)
	default:
		r.answer(out, request, http.StatusMethodNotAllowed, "")
	}
}

// take counts a batch, unless the receiver has it already.
func (r *receiver) take(out http.ResponseWriter, request *http.Request, body []byte) {
	key := request.Header.Get("Idempotency-Key")
	if lines, found := r.batches[key]; found {
		status := http.StatusOK
		if lines != string(body) {
			status = http.StatusConflict
		}
		r.answer(out, request, status, "")
		return
	}
	r.batches[key] = string(body)
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var record usageRecord
		if json.Unmarshal(lines.Bytes(), &record) != nil {
			continue
		}
		r.micros[record.Tenant] += record.MicroUnits
		r.last = max(r.last, record.Sequence)
	}
	r.answer(out, request, http.StatusOK, "")
}

func (r *receiver) answer(out http.ResponseWriter, request *http.Request, status int, body string) {
	key := request.Header.Get("Idempotency-Key")
	r.world.note("receiver: %s %s %s -> %d %s", request.Method, request.URL.Path, key, status, body)
	out.WriteHeader(status)
	_, _ = io.WriteString(out, body)
}

// units returns the units that the receiver has counted for a tenant.
func (r *receiver) units(tenant string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.micros[tenant]) / 1e6
}

// lastSequence returns the last sequence number that the receiver has.
func (r *receiver) lastSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
