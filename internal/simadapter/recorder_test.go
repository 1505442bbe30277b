package simadapter

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"flag"
	"io"
	"math"
	"os"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/pcg"
	"fawnplank/internal/simwire"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// This file made the recorded stream that TestGoldenStream plays: a small simulator at the other end of the
// wire. The stream is kept, so that the test's input depends on nothing that changes in the program. It is
// made with go test ./internal/simadapter -run Recorder -record testdata/stream.bin.gz

var recordTo = flag.String("record", "", "write the simulator's frames, packed, to this file")

// TestRecorder_MakesTheRecordedStream plays the simulator against the host: as its events follow the host's
// actions, the frames are those of the recorded stream only if every action is.
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

// recorder is a simulator of a few instances and backends, in simulated time.
type recorder struct {
	t       *testing.T
	random  *pcg.Source
	now     float64 // ms
	events  timerqueue.Queue[func()]
	batch   *simwire.Reply // the events of the next frame
	records uint32         // in the batch
	stream  bytes.Buffer   // all frames sent
	frames  int
	in      io.Writer // the host's two ends
	out     io.Reader

	incarnations  [recorderInstances]int
	attempts      map[uint64][]*recordedAttempt // by request
	done          map[uint64]bool               // requests that are answered, or whose client has left
	deadlines     map[uint64]float64            // of requests, when their clients give up
	counterTotals map[uint64]float64            // by key
	states        [recorderBackends + 1]uint8   // of backends, which count from 1
	started       [recorderBackends + 1]float64
	nextID        uint64
	version       uint64 // of the endpoint list
}

type recordedAttempt struct {
	instance uint32
	id       uint64
	number   uint8
	backend  uint32
	sent     float64
	settled  bool
	streams  bool // the answer has begun
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Run(inRead, outWrite) }()
	t.Cleanup(func() {
		_ = inWrite.Close() // ends the run
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &recorder{
		t:             t,
		random:        pcg.New(77),
		now:           testClock,
		batch:         &simwire.Reply{},
		in:            inWrite,
		out:           outRead,
		attempts:      map[uint64][]*recordedAttempt{},
		done:          map[uint64]bool{},
		deadlines:     map[uint64]float64{},
		counterTotals: map[uint64]float64{},
		nextID:        1 << 40,
	}
}

// record starts an event's record.
func (r *recorder) record(code uint8, instance uint32) *simwire.Reply {
	r.records++
	return r.batch.Record(code).Uint32(instance)
}

// after does something at a later time.
func (r *recorder) after(ms float64, do func()) {
	r.events.Push(atMillis(r.now+max(ms, 0)), do)
}

// afterIfAlive does something to an instance at a later time, unless it was killed by then.
func (r *recorder) afterIfAlive(instance uint32, ms float64, do func()) {
	incarnation := r.incarnations[instance]
	r.after(ms, func() {
		if r.incarnations[instance] == incarnation {
			do()
		}
	})
}

// atMillis returns the queue's time, rounded down to a microsecond.
func atMillis(ms float64) monotime.Instant {
	micros := time.Duration(ms * 1000)
	return monotime.FromNanos(int64(micros * time.Microsecond))
}

// randomInt draws a number from 0 on and below n.
func (r *recorder) randomInt(n int) int { return int(r.random.Uint64() % uint64(n)) }

// happens draws whether something of the given probability happens.
func (r *recorder) happens(probability float64) bool { return r.random.Float64() < probability }

// exponential draws a time of the given mean.
func (r *recorder) exponential(meanMs float64) float64 {
	return -math.Log(1-r.random.Float64()) * meanMs
}

func (r *recorder) roundToMicros(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// play plays the day.
func (r *recorder) play() {
	for b := 1; b <= recorderBackends; b++ {
		r.states[b] = stateReady
	}
	r.flush() // the first batches are empty
	for i := range uint32(recorderInstances) {
		r.create(i)
	}
	r.record(eventCreate, 90).Uint64(1).Uint32(2).Uint8('{').Uint8('}') // settings that lack all
	r.arrive()
	r.disturb()
	end := r.now + recorderEndMs
	for r.now < end {
		r.flush()
		at, ok := r.events.NextDue(func(func()) bool { return false })
		if !ok {
			break
		}
		micros := at.Nanos() / int64(time.Microsecond)
		r.now = max(math.Ceil(float64(micros)/4000)*4, r.now+4) // batches are 4 ms apart at least
		r.doDue()
	}
}

// doDue does all that is due by now.
func (r *recorder) doDue() {
	for {
		do, ok := r.events.PopDue(atMillis(r.now))
		if !ok {
			return
		}
		do()
	}
}

// flush sends the batch, reads the reply and acts on it.
func (r *recorder) flush() {
	frame := frameOf(r.t, r.records, r.now, r.batch)
	r.records = 0
	r.stream.Write(frame)
	r.frames++
	if _, err := r.in.Write(frame); err != nil {
		r.t.Fatal(err)
	}
	var header [replyHeaderBytes]byte
	if _, err := io.ReadFull(r.out, header[:]); err != nil {
		r.t.Fatal(err)
	}
	reply := make([]byte, binary.LittleEndian.Uint32(header[4:]))
	if _, err := io.ReadFull(r.out, reply); err != nil {
		r.t.Fatal(err)
	}
	for range binary.LittleEndian.Uint32(header[:]) {
		reply = reply[r.act(reply):]
	}
}

// act does what the first action of a reply asks for, and returns its length.
func (r *recorder) act(action []byte) int {
	u16 := func(at int) uint16 { return binary.LittleEndian.Uint16(action[at:]) }
	u32 := func(at int) uint32 { return binary.LittleEndian.Uint32(action[at:]) }
	u64 := func(at int) uint64 { return binary.LittleEndian.Uint64(action[at:]) }
	f64 := func(at int) float64 { return math.Float64frombits(u64(at)) }
	i := u32(1)
	switch action[0] {
	case actionSend:
		r.send(i, u64(5), u32(13), f64(17))
		return 25
	case actionReject:
		r.done[u64(5)] = true
		return 21
	case actionAbort:
		r.done[u64(5)] = true
		return 13
	case actionCancel:
		a := r.attempts[u64(5)][action[13]]
		r.afterIfAlive(i, 1, func() { r.settle(a, statusCanceled) })
		return 14
	case actionWakeAt:
		timer := u64(13)
		r.afterIfAlive(i, f64(5)-r.now, func() { r.record(eventTimer, i).Uint64(timer) })
		return 21
	case actionCheckHealth:
		r.checkHealth(i, u32(5))
		return 9
	case actionLog, actionInstanceFailed:
		return 7 + int(u16(5))
	case actionWatch:
		r.watch(i)
		return 6
	case actionAddToCounter:
		r.count(i, u64(5), float64(math.Float32frombits(u32(13))))
		return 25
	}
	r.t.Fatalf("unknown action %d", action[0])
	return 0
}

// checkHealth answers a health check; a third of them cannot connect.
func (r *recorder) checkHealth(i, backend uint32) {
	status := []uint16{statusSucceeded, statusSucceeded, statusConnectFailed}[r.randomInt(3)]
	r.afterIfAlive(i, 3, func() {
		r.record(eventHealthCheck, i).Uint32(backend).Uint16(status).Float64(3).Uint8(1).Float32(4.5)
	})
}

// watch answers a watch with the list, or by a failure.
func (r *recorder) watch(i uint32) {
	kind := policy.FullSnapshot
	if r.happens(0.3) {
		kind = policy.UpdateFailed
	}
	r.afterIfAlive(i, 5, func() { r.sendEndpoints(i, kind) })
}
