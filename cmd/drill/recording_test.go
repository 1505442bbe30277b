package main

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"testing"

	"fawnplank/internal/pcg"
	"fawnplank/internal/simwire"
	"fawnplank/internal/timerqueue"
)

// This file made the recorded stream that TestGoldenStream plays: a small simulator at the other end of the wire.
// The stream is kept, so that the test's input depends on nothing that changes in the program. It is made with
// go test ./cmd/drill -run Recorder -record testdata/stream.bin.gz

var recordTo = flag.String("record", "", "write the simulator's frames, packed, to this file")

// TestRecorder_MakesTheRecordedStream plays the simulator against the host: as its events follow the host's actions,
// the frames are those of the recorded stream only if every action is.
func TestRecorder_MakesTheRecordedStream(t *testing.T) {
	r := newRecorder(t)
	r.play()
	if *recordTo != "" {
		writePacked(t, *recordTo, r.stream.Bytes())
		t.Logf("%d frames, %d bytes", r.frames, r.stream.Len())
	}
	if !bytes.Equal(r.stream.Bytes(), recordedStream(t)) {
		t.Errorf("%d frames differ from those recorded", r.frames)
	}
}

func writePacked(t *testing.T, path string, stream []byte) {
	t.Helper()
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.Write(stream); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

const (
	recorderInstances = 5
	recorderBackends  = 6
	recorderEndMs     = 40000
)

type recorder struct {
	t        *testing.T
	chance   *pcg.Source
	now      float64 // ms
	events   timerqueue.Queue[func()]
	batch    *simwire.Reply
	records  uint32
	stream   bytes.Buffer
	frames   int
	in       io.Writer
	out      io.Reader
	lives    [recorderInstances]int
	attempts map[uint64][]*recordedAttempt
	over     map[uint64]bool
	limits   map[uint64]float64
	totals   map[uint64]float64
	states   [recorderBackends + 1]uint8
	started  [recorderBackends + 1]float64
	nextID   uint64
	version  uint64
}

type recordedAttempt struct {
	instance uint32
	life     int
	id       uint64
	number   uint8
	backend  uint32
	sent     float64
	settled  bool
	streams  bool
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(inRead, outWrite) }()
	t.Cleanup(func() {
		_ = inWrite.Close() // ends the run
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &recorder{t: t, chance: pcg.New(77), now: 58225, batch: &simwire.Reply{}, in: inWrite, out: outRead,
		attempts: map[uint64][]*recordedAttempt{}, over: map[uint64]bool{}, limits: map[uint64]float64{},
		totals: map[uint64]float64{}, nextID: 1 << 40}
}

func (r *recorder) record(code uint8, instance uint32) *simwire.Reply {
	r.records++
	return r.batch.Record(code).Uint32(instance)
}

func (r *recorder) after(ms float64, what func()) {
	r.events.Push(int64((r.now+max(ms, 0))*1000), what)
}

// later does something to an instance unless it was killed by then.
func (r *recorder) later(instance uint32, ms float64, what func()) {
	life := r.lives[instance]
	r.after(ms, func() {
		if r.lives[instance] == life {
			what()
		}
	})
}

func (r *recorder) below(n int) int           { return int(r.chance.Uint64() % uint64(n)) }
func (r *recorder) likely(part float64) bool  { return r.chance.Float64() < part }
func (r *recorder) about(ms float64) float64  { return -math.Log(1-r.chance.Float64()) * ms }
func (r *recorder) rounded(x float64) float64 { return math.Round(x*1000) / 1000 }

func (r *recorder) play() {
	for b := 1; b <= recorderBackends; b++ {
		r.states[b] = 1
	}
	r.flush() // the first batches are empty
	for i := range uint32(recorderInstances) {
		r.create(i)
	}
	r.record(0, 90).Uint64(1).Uint32(2).Uint8('{').Uint8('}') // settings that lack all
	r.arrive()
	r.disturb()
	end := r.now + recorderEndMs
	for r.now < end {
		r.flush()
		at, ok := r.events.NextDue(func(func()) bool { return false })
		if !ok {
			break
		}
		r.now = max(math.Ceil(float64(at)/4000)*4, r.now+4) // batches are 4 ms apart at least
		for what, ok := r.events.PopDue(int64(r.now * 1000)); ok; what, ok = r.events.PopDue(int64(r.now * 1000)) {
			what()
		}
	}
}

// flush sends the batch, reads the reply and acts on it.
func (r *recorder) flush() {
	var body bytes.Buffer
	if _, err := r.batch.WriteTo(&body); err != nil {
		r.t.Fatal(err)
	}
	frame := binary.LittleEndian.AppendUint32(nil, uint32(body.Len()-8))
	frame = binary.LittleEndian.AppendUint32(frame, r.records)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(r.now))
	frame = append(frame, body.Bytes()[8:]...)
	r.records = 0
	r.stream.Write(frame)
	r.frames++
	if _, err := r.in.Write(frame); err != nil {
		r.t.Fatal(err)
	}
	var head [8]byte
	if _, err := io.ReadFull(r.out, head[:]); err != nil {
		r.t.Fatal(err)
	}
	reply := make([]byte, binary.LittleEndian.Uint32(head[4:]))
	if _, err := io.ReadFull(r.out, reply); err != nil {
		r.t.Fatal(err)
	}
	for range binary.LittleEndian.Uint32(head[:]) {
		reply = r.act(reply)
	}
}

// act does what one action asks for, and gives the bytes after it.
func (r *recorder) act(b []byte) []byte {
	u16 := func(at int) uint16 { return binary.LittleEndian.Uint16(b[at:]) }
	u32 := func(at int) uint32 { return binary.LittleEndian.Uint32(b[at:]) }
	u64 := func(at int) uint64 { return binary.LittleEndian.Uint64(b[at:]) }
	f64 := func(at int) float64 { return math.Float64frombits(u64(at)) }
	i := u32(1)
	switch b[0] {
	case 64:
		r.send(i, u64(5), u32(13), f64(17))
		return b[25:]
	case 65:
		r.over[u64(5)] = true
		return b[21:]
	case 66:
		r.over[u64(5)] = true
		return b[13:]
	case 67:
		a := r.attempts[u64(5)][b[13]]
		r.later(i, 1, func() { r.settle(a, 306) })
		return b[14:]
	case 68:
		mark := u64(13)
		r.later(i, f64(5)-r.now, func() { r.record(6, i).Uint64(mark) })
		return b[21:]
	case 69:
		backend := u32(5)
		status := []uint16{100, 100, 304}[r.below(3)]
		r.later(i, 3, func() { r.record(7, i).Uint32(backend).Uint16(status).Float64(3).Uint8(1).Float32(4.5) })
		return b[9:]
	case 72, 73:
		return b[7+u16(5):]
	case 74:
		how := uint8(1)
		if r.likely(0.3) {
			how = 3
		}
		r.later(i, 5, func() { r.view(i, how) })
		return b[6:]
	case 76:
		r.count(i, u64(5), float64(math.Float32frombits(u32(13))))
		return b[25:]
	}
	r.t.Fatalf("unknown action %d", b[0])
	return nil
}

func (r *recorder) create(i uint32) {
	method := []string{"pushed", "on_request"}[i%2]
	text := fmt.Sprintf(`{"me": %d, "replicas-of-me": %d, "my-zone": %d, "discovery": %q, "unknown-key": [1],
"permissions": {"send-cap": 4, "cancelling": %v, "second-copies": %v, "probes": true, "retry-after": true, "max-retry-after-ms": 1000},
"invariants": {"cold-share": 0.2, "warm-up-ms": 5000, "tip-multiple": 3, "fall-ms": 1000, "ask-within-ms": 4000, "stop-sending-within-ms": 800},
"family-info": {"may-count": true, "counter-timeout-ms": 60, "post-paid": %v}, "prices": {"cross-zone": 0.02},
"lanes": [{"goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like", "late-worth": 0.3, "silence": "open"},
{"goal-time-ms": 500, "deadline-ms": 1500, "effect": "idempotency_key", "group": "zone", "window-ms": 900},
{"goal-time-ms": 500, "deadline-ms": 1500, "effect": "idempotency_key", "group": "cell", "window-ms": 300},
{"goal-time-ms": 600, "deadline-ms": 1500, "effect": "idempotency_key", "group": "all", "window-ms": 400, "silence": "closed"},
{"goal-time-ms": 700, "deadline-ms": 1500, "effect": "non_idempotent"}],
"tariffs": [{"quota-rate": 6, "peak-units": 9, "beyond-costs": 1}, {"quota-rate": 4, "peak-units": 8, "parallel": 3, "cap-rate": 6, "ceiling-burst": 8},
{"quota-rate": 0, "peak-units": 0, "parallel": 4}, {"quota-rate": 2, "peak-units": 3, "beyond-earns": 0.6, "beyond-costs": 0.4}]}`,
		i, recorderInstances, i%2, method, i != 2, i < 2, i == 3)
	c := r.record(0, i).Uint64(uint64(i)*7919 + uint64(r.lives[i])).Uint32(uint32(len(text)))
	for _, b := range []byte(text) {
		c.Uint8(b)
	}
	r.view(i, 2)
}

// view tells an instance all backends, or those named.
func (r *recorder) view(i uint32, how uint8, only ...uint32) {
	if how == 3 {
		r.record(1, i).Uint8(how).Uint64(r.version).Uint32(0)
		return
	}
	if len(only) == 0 {
		for b := uint32(1); b <= recorderBackends; b++ {
			if r.states[b] != 3 {
				only = append(only, b)
			}
		}
	}
	v := r.record(1, i).Uint8(how).Uint64(r.version).Uint32(uint32(len(only)))
	for _, b := range only {
		v.Uint32(b * 1000).Uint16(uint16(b % 2)).Uint8(uint8(b % 3)).Uint16(uint16(b % 3)).Uint8(r.states[b]).Float32(1 + float64(b%2)).Float64(r.started[b])
	}
}

// disturb changes a backend, kills an instance or sends what makes no sense, again and again.
func (r *recorder) disturb() {
	r.after(100+r.about(300), func() {
		i, b := uint32(r.below(recorderInstances)), uint32(1+r.below(recorderBackends))
		switch r.below(8) {
		case 0, 1, 2:
			r.states[b] = []uint8{0, 1, 3, 7}[r.below(4)]
			r.tell(b)
			r.after(1000, func() {
				r.states[b], r.started[b] = 1, r.now
				r.tell(b)
			})
		case 3:
			if r.likely(0.4) {
				r.lives[i]++
				r.record(9, i)
				r.create(i)
			}
		case 4:
			r.record(8, i).Uint32(1).Uint16(3).Uint8(1).Uint8(2).Uint8(3)
		case 5: // of requests, backends and numbers that nobody knows, and for an instance that is none
			r.record(4, i).Uint64(5).Uint8(0).Uint32(b).Uint16(100).Float64(1).Uint8(1).Uint16(0).Uint16(0).Uint8(0)
			r.record(5, i).Uint64(5)
			r.record(3, i).Uint64(5).Uint8(0).Uint32(b).Float64(1)
			r.record(10, i).Uint16(100).Uint64(5).Float64(1).Float32(2)
			r.record(7, i).Uint32(5).Uint16(304).Float64(1).Uint8(0)
			r.record(6, 70).Uint64(1)
			r.record(2, 70).Uint64(6).Uint16(0).Uint32(0).Uint64(1).Float64(1000).Float32(1).Float32(1).Float32(0).Uint8(0)
			r.record(9, 70)
		case 6:
			r.view(i, 1)
		case 7:
			clear(r.totals) // the counter comes back empty
		}
		r.disturb()
	})
}

func (r *recorder) tell(b uint32) {
	r.version++
	for i := range uint32(recorderInstances) {
		r.view(i, 0, b)
	}
}

func (r *recorder) arrive() {
	r.after(r.about(7), func() {
		i := uint32(r.below(recorderInstances))
		class, plan, customer := uint16(r.below(5)), r.below(4), uint64(r.below(3))
		if r.likely(0.005) {
			class = 40
		}
		left := 1500.0
		if r.likely(0.1) {
			left = 10 * float64(r.below(100))
		}
		r.nextID++
		id, life := r.nextID, r.lives[i]
		r.limits[id] = r.now + left
		r.record(2, i).Uint64(id).Uint16(class).Uint32(uint32(plan)).Uint64(customer*4 + uint64(plan)).Float64(left).
			Float32([]float64{0.5, 1, 1, 1, 2}[r.below(5)]).Float32(recorderInstances).Float32(float64(customer)).Uint8(2)
		if r.likely(0.05) {
			r.after(float64(r.below(300)), func() {
				if r.lives[i] == life && !r.over[id] {
					r.over[id] = true
					r.record(5, i).Uint64(id)
				}
			})
		}
		r.arrive()
	})
}

// send settles an attempt some time after.
func (r *recorder) send(i uint32, id uint64, backend uint32, expire float64) {
	a := &recordedAttempt{instance: i, life: r.lives[i], id: id, number: uint8(len(r.attempts[id])), backend: backend, sent: r.now}
	r.attempts[id] = append(r.attempts[id], a)
	until := r.limits[id]
	if expire > 0 {
		until = min(until, expire)
	}
	r.later(i, until-r.now, func() {
		if !a.streams {
			r.settle(a, 303)
		}
	})
	took, status := 20+r.about(30), uint16(100)
	switch x := r.below(100); {
	case x < 3:
		return // no answer ever
	case x < 10:
		status = []uint16{301, 302, 304, 305, 307, 302, 301}[x-3]
	case x < 15:
		took *= 15
	case x < 25:
		r.later(i, took/2, func() {
			if !a.settled && !r.over[id] {
				a.streams = true
				r.record(3, i).Uint64(id).Uint8(a.number).Uint32(backend).Float64(r.rounded(r.now - a.sent))
			}
		})
	}
	r.later(i, took, func() { r.settle(a, status) })
}

func (r *recorder) settle(a *recordedAttempt, status uint16) {
	if a.settled || a.streams && status == 306 {
		return
	}
	a.settled = true
	if status == 100 || a.streams {
		r.over[a.id] = true
	}
	over, units := uint8(0), uint16(0)
	if r.over[a.id] {
		over = 1
	}
	if status == 100 && a.instance == 3 {
		units = uint16(1 + r.below(3))
	}
	r.record(4, a.instance).Uint64(a.id).Uint8(a.number).Uint32(a.backend).Uint16(status).Float64(r.rounded(r.now - a.sent)).
		Uint8(over).Uint16(0).Uint16(units).Uint8(2).Float32(0.5).Float32(3)
}

// count answers a call to the counter, which fails for three seconds of the day.
func (r *recorder) count(i uint32, name uint64, units float64) {
	status, took := uint16(100), 2.0
	if since := r.now - 58225; since > 5000 && since < 8000 {
		if status = []uint16{303, 304, 302}[int(since/1000)-5]; status == 303 {
			took = 60
		}
	}
	if status == 100 {
		r.totals[name] += units
	}
	total := r.totals[name]
	r.later(i, took, func() { r.record(10, i).Uint16(status).Uint64(name).Float64(took).Float32(total) })
}
