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

// This file holds a small simulator, the recorder, which produced the recorded stream of TestGoldenStream. The stream
// is stored in a file, so that the input of that test does not change with the program. To write the file:
//
//	go test ./internal/simadapter -run Recorder -record testdata/stream.bin.gz

var recordPath = flag.String("record", "", "write the simulator's frames, compressed with gzip, to this file")

// TestRecorder_ReproducesRecordedStream runs the simulator against the host. The simulator's events depend on the
// host's actions, so its frames equal the recorded stream only if the host's actions are the same as at the recording.
func TestRecorder_ReproducesRecordedStream(t *testing.T) {
	r := newRecorder(t)
	r.run()
	if *recordPath != "" {
		writeCompressed(t, *recordPath, r.stream.Bytes())
		t.Logf("%d frames, %d bytes", r.frameCount, r.stream.Len())
	}
	if !bytes.Equal(r.stream.Bytes(), recordedStream(t)) {
		t.Errorf("the %d frames sent differ from the recorded stream", r.frameCount)
	}
}

func writeCompressed(t *testing.T, path string, stream []byte) {
	t.Helper()
	var compressed bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := compressor.Write(stream); err != nil {
		t.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, compressed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

const (
	recorderInstances  = 5
	recorderBackends   = 6
	recorderDurationMs = 40000
)

// recorder simulates a few instances and backends in simulated time, and records the frames that it sends.
type recorder struct {
	t           *testing.T
	random      *pcg.Source
	now         float64 // ms
	scheduled   timerqueue.Queue[func()]
	batch       *simwire.Reply // the events of the next frame
	recordCount uint32         // number of records in batch
	stream      bytes.Buffer   // all frames sent
	frameCount  int
	hostInput   io.Writer // receives the frames
	hostOutput  io.Reader // returns the replies

	incarnations  [recorderInstances]int
	attempts      map[uint64][]*simulatedAttempt // by request id
	finished      map[uint64]bool                // ids of requests that are answered or whose client is gone
	deadlines     map[uint64]float64             // times at which clients give up, in ms, by request id
	counterTotals map[uint64]float64             // by counter key
	backendStates [recorderBackends + 1]uint8    // indexed by backend, from 1
	backendStarts [recorderBackends + 1]float64  // in ms, indexed by backend, from 1
	lastRequestID uint64
	listVersion   uint64 // of the endpoint list
}

type simulatedAttempt struct {
	instance        uint32
	requestID       uint64
	number          uint8
	backend         uint32
	sentAt          float64
	ended           bool
	responseStarted bool
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	inputReader, inputWriter := io.Pipe()
	outputReader, outputWriter := io.Pipe()
	finished := make(chan error, 1)
	go func() { finished <- Run(inputReader, outputWriter) }()
	t.Cleanup(func() {
		_ = inputWriter.Close() // makes Run return
		if err := <-finished; err != nil {
			t.Error(err)
		}
	})
	return &recorder{
		t:             t,
		random:        pcg.New(77),
		now:           testClockMillis,
		batch:         &simwire.Reply{},
		hostInput:     inputWriter,
		hostOutput:    outputReader,
		attempts:      map[uint64][]*simulatedAttempt{},
		finished:      map[uint64]bool{},
		deadlines:     map[uint64]float64{},
		counterTotals: map[uint64]float64{},
		lastRequestID: 1 << 40,
	}
}

// eventRecord starts the record of an event in the batch.
func (r *recorder) eventRecord(code uint8, instanceID uint32) *simwire.Reply {
	r.recordCount++
	return r.batch.Record(code).Uint32(instanceID)
}

// schedule calls a function after a delay of simulated time.
func (r *recorder) schedule(delayMs float64, callback func()) {
	r.scheduled.Push(atMillis(r.now+max(delayMs, 0)), callback)
}

// scheduleForInstance calls a function after a delay, unless the instance has been killed by then.
func (r *recorder) scheduleForInstance(instanceID uint32, delayMs float64, callback func()) {
	incarnation := r.incarnations[instanceID]
	r.schedule(delayMs, func() {
		if r.incarnations[instanceID] == incarnation {
			callback()
		}
	})
}

// atMillis converts a time in milliseconds to the queue's form, rounded down to a microsecond.
func atMillis(ms float64) monotime.Instant {
	micros := time.Duration(ms * 1000)
	return monotime.FromNanos(int64(micros * time.Microsecond))
}

// randomInt returns a random integer from 0 to n-1.
func (r *recorder) randomInt(n int) int { return int(r.random.Uint64() % uint64(n)) }

// randomBool returns true with the given probability.
func (r *recorder) randomBool(probability float64) bool { return r.random.Float64() < probability }

// exponential returns a random time from an exponential distribution with the given mean.
func (r *recorder) exponential(meanMs float64) float64 {
	return -math.Log(1-r.random.Float64()) * meanMs
}

func (r *recorder) roundToMicros(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// run runs the simulation.
func (r *recorder) run() {
	for backend := 1; backend <= recorderBackends; backend++ {
		r.backendStates[backend] = stateReady
	}
	r.exchangeFrame() // the first batches are empty
	for instanceID := range uint32(recorderInstances) {
		r.createInstance(instanceID)
	}
	r.eventRecord(eventCreate, 90).Uint64(1).Uint32(2).Uint8('{').Uint8('}') // settings without any key
	r.scheduleRequest()
	r.scheduleDisturbance()
	end := r.now + recorderDurationMs
	for r.now < end {
		r.exchangeFrame()
		due, ok := r.scheduled.NextDue(func(func()) bool { return false })
		if !ok {
			break
		}
		micros := due.Nanos() / int64(time.Microsecond)
		r.now = max(math.Ceil(float64(micros)/4000)*4, r.now+4) // batches are at least 4 ms apart
		r.runDueCallbacks()
	}
}

// runDueCallbacks calls all scheduled functions that are due.
func (r *recorder) runDueCallbacks() {
	for {
		callback, ok := r.scheduled.PopDue(atMillis(r.now))
		if !ok {
			return
		}
		callback()
	}
}

// exchangeFrame sends the batch as a frame, reads the reply and handles its actions.
func (r *recorder) exchangeFrame() {
	frame := frameOf(r.t, r.recordCount, r.now, r.batch)
	r.recordCount = 0
	r.stream.Write(frame)
	r.frameCount++
	if _, err := r.hostInput.Write(frame); err != nil {
		r.t.Fatal(err)
	}
	var header [replyHeaderBytes]byte
	if _, err := io.ReadFull(r.hostOutput, header[:]); err != nil {
		r.t.Fatal(err)
	}
	reply := make([]byte, binary.LittleEndian.Uint32(header[4:]))
	if _, err := io.ReadFull(r.hostOutput, reply); err != nil {
		r.t.Fatal(err)
	}
	for range binary.LittleEndian.Uint32(header[:]) {
		reply = reply[r.handleAction(reply):]
	}
}

// handleAction carries out the first action of a reply and returns its length in bytes.
func (r *recorder) handleAction(action []byte) int {
	u16 := func(offset int) uint16 { return binary.LittleEndian.Uint16(action[offset:]) }
	u32 := func(offset int) uint32 { return binary.LittleEndian.Uint32(action[offset:]) }
	u64 := func(offset int) uint64 { return binary.LittleEndian.Uint64(action[offset:]) }
	f64 := func(offset int) float64 { return math.Float64frombits(u64(offset)) }
	instanceID := u32(1)
	switch action[0] {
	case actionSend:
		r.startAttempt(instanceID, u64(5), u32(13), f64(17))
		return 25
	case actionReject:
		r.finished[u64(5)] = true
		return 21
	case actionAbort:
		r.finished[u64(5)] = true
		return 13
	case actionCancel:
		attempt := r.attempts[u64(5)][action[13]]
		r.scheduleForInstance(instanceID, 1, func() { r.endAttempt(attempt, statusCanceled) })
		return 14
	case actionWakeAt:
		timer := u64(13)
		r.scheduleForInstance(instanceID, f64(5)-r.now, func() { r.eventRecord(eventTimer, instanceID).Uint64(timer) })
		return 21
	case actionCheckHealth:
		r.answerHealthCheck(instanceID, u32(5))
		return 9
	case actionLog, actionInstanceFailed:
		return 7 + int(u16(5))
	case actionWatch:
		r.answerWatch(instanceID)
		return 6
	case actionAddToCounter:
		r.answerCounterCall(instanceID, u64(5), float64(math.Float32frombits(u32(13))))
		return 25
	}
	r.t.Fatalf("unknown action %d", action[0])
	return 0
}

// answerHealthCheck schedules the result of a health check; a third of the checks fail to connect.
func (r *recorder) answerHealthCheck(instanceID, backend uint32) {
	status := []uint16{statusSucceeded, statusSucceeded, statusConnectFailed}[r.randomInt(3)]
	r.scheduleForInstance(instanceID, 3, func() {
		r.eventRecord(eventHealthCheck, instanceID).Uint32(backend).Uint16(status).Float64(3).Uint8(1).Float32(4.5)
	})
}

// answerWatch answers a watch with the full endpoint list or with a failure.
func (r *recorder) answerWatch(instanceID uint32) {
	kind := policy.FullSnapshot
	if r.randomBool(0.3) {
		kind = policy.UpdateFailed
	}
	r.scheduleForInstance(instanceID, 5, func() { r.sendEndpoints(instanceID, kind) })
}
