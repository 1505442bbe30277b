package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"fawnplank/internal/simwire"
)

// cancellationKey is the platform's word, in British spelling.
const cancellationKey = "cancelling" //nolint:misspell // a key of the platform's settings

const validSettings = `{"me": 0, "replicas-of-me": 2, "new-key": 1,
	"permissions": {"send-cap": 3, "` + cancellationKey + `": true, "retry-after": true, "max-retry-after-ms": 1000},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000},
	"lanes": [{"goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like"}],
	"tariffs": [{"quota-rate": 0, "peak-units": 0}]}`

const (
	frameHeaderBytes = 16
	replyHeaderBytes = 8
)

// frameOf packs events as the wire frames them: a frame has a clock where a reply has none.
func frameOf(t *testing.T, records uint32, clock float64, events *simwire.Reply) []byte {
	t.Helper()
	body := bodyOf(t, events)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, records)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(clock))
	return append(frame, body...)
}

// bodyOf returns the records of a reply without its header.
func bodyOf(t *testing.T, reply *simwire.Reply) []byte {
	t.Helper()
	var packed bytes.Buffer
	if _, err := reply.WriteTo(&packed); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()[replyHeaderBytes:]
}

// testClock is some time of a day, in ms.
const testClock = 58225

// createInstance returns a record that starts instance 3.
func createInstance(settings string) *simwire.Reply {
	r := &simwire.Reply{}
	r.Record(eventCreate).Uint32(3).Uint64(9)
	return addLongText(r, settings)
}

// addLongText adds a text behind a length of four bytes.
func addLongText(r *simwire.Reply, text string) *simwire.Reply {
	r.Uint32(uint32(len(text)))
	for _, c := range []byte(text) {
		r.Uint8(c)
	}
	return r
}

func TestRun_FaultyInputEndsIt(t *testing.T) {
	list := createInstance(validSettings)
	list.Record(eventEndpoints).Uint32(3).Uint8(2).Uint64(1).Uint32(1 << 30)
	frame := func(records uint32, events *simwire.Reply) []byte {
		return frameOf(t, records, testClock, events)
	}
	unknownKind := (&simwire.Reply{}).Record(eventEndpoints).Uint32(3).Uint8(4).Uint64(1).Uint32(0)
	unknownStatus := (&simwire.Reply{}).Record(eventCounterResult).Uint32(3).Uint16(99).Uint64(1).Float64(1).Float32(1)
	for want, in := range map[string][]byte{
		"":                                       frame(0, &simwire.Reply{}),
		"batch 0: frame header: 3 of 16":         {1, 2, 3},
		"frame body: 0 of":                       frame(1, createInstance(validSettings))[:frameHeaderBytes],
		"frame body: 3 of":                       frame(1, createInstance(validSettings))[:frameHeaderBytes+3],
		"record 0 (code 99 ) at byte 0: unknown": frame(1, (&simwire.Reply{}).Record(99).Uint32(3)),
		"code 1 View":                            frame(2, list),
		"unknown kind of list 4":                 frame(1, unknownKind),
		"(code 10 TallyBack) at byte 0: unknown status 99": frame(1, unknownStatus),
		"impossible count of 7 records":                    frame(7, (&simwire.Reply{}).Record(eventKill)),
		"1 bytes after the last":                           frame(1, createInstance(validSettings).Uint8(0)),
	} {
		var out bytes.Buffer
		err := Run(bytes.NewReader(in), &out)
		if want == "" && (err != nil || out.Len() != replyHeaderBytes) {
			t.Errorf("an empty frame: %v, %d bytes", err, out.Len())
		}
		if want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestRun_FaultySettingsAreReportedAsBroken(t *testing.T) {
	for want, text := range map[string]string{
		"no JSON":                       "{",
		"permissions.send-cap is miss":  strings.Replace(validSettings, `"send-cap": 3, `, "", 1),
		"lanes[0].effect is \"odd\"":    strings.Replace(validSettings, "read_like", "odd", 1),
		"tariffs[0].quota-rate is of t": strings.Replace(validSettings, `"quota-rate": 0`, `"quota-rate": "x"`, 1),
	} {
		var out bytes.Buffer
		err := Run(bytes.NewReader(frameOf(t, 1, testClock, createInstance(text))), &out)
		if err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%q: %v, %q", want, err, out.String())
		}
	}
}

func TestRun_SendsAttemptsAndAbortsUnknownClasses(t *testing.T) {
	in := createInstance(validSettings)
	in.Record(eventEndpoints).Uint32(3).Uint8(2).Uint64(1).Uint32(1).
		Uint32(77).Uint16(0).Uint8(0).Uint16(0).Uint8(stateReady).Float32(1).Float64(0)
	submit := func(id uint64, class uint16) {
		in.Record(eventSubmit).Uint32(3).Uint64(id).Uint16(class).Uint32(0).Uint64(5).Float64(2000).
			Float32(1).Float32(2).Float32(0).Uint8(0)
	}
	submit(123, 0)
	submit(124, 9)
	in.Record(eventAttemptResult).Uint32(3).Uint64(999).Uint8(0).Uint32(77).Uint16(100).Float64(1).
		Uint8(1).Uint16(0).Uint16(0).Uint8(0) // of a request that is not in flight
	var out bytes.Buffer
	if err := Run(bytes.NewReader(frameOf(t, 5, testClock, in)), &out); err != nil {
		t.Fatal(err)
	}
	sent := bodyOf(t, (&simwire.Reply{}).Record(actionSend).Uint32(3).Uint64(123).Uint32(77))
	if !bytes.Contains(out.Bytes(), sent) {
		t.Error("no attempt of the request")
	}
	aborted := bodyOf(t, (&simwire.Reply{}).Record(actionAbort).Uint32(3).Uint64(124))
	if !bytes.Contains(out.Bytes(), aborted) {
		t.Error("a request of an unknown class was not aborted")
	}
}
