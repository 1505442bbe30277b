package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"fawnplank/internal/simwire"
)

// cancellationSetting is a key of the platform's settings, which use British spelling.
const cancellationSetting = "cancelling" //nolint:misspell // a key of the platform's settings

const validSettings = `{"me": 0, "replicas-of-me": 2, "new-key": 1,
	"permissions": {"send-cap": 3, "` + cancellationSetting + `": true, "retry-after": true, "max-retry-after-ms": 1000},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000},
	"lanes": [{"goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like"}],
	"tariffs": [{"quota-rate": 0, "peak-units": 0}]}`

const (
	frameHeaderBytes = 16
	replyHeaderBytes = 8
)

// frameOf encodes events as a frame. Reply encodes the records; its header differs from that of a frame, which has a
// clock.
func frameOf(t *testing.T, recordCount uint32, clockMillis float64, events *simwire.Reply) []byte {
	t.Helper()
	body := recordsOf(t, events)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, recordCount)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(clockMillis))
	return append(frame, body...)
}

// recordsOf returns the records of a reply without its header.
func recordsOf(t *testing.T, reply *simwire.Reply) []byte {
	t.Helper()
	var encoded bytes.Buffer
	if _, err := reply.WriteTo(&encoded); err != nil {
		t.Fatal(err)
	}
	return encoded.Bytes()[replyHeaderBytes:]
}

// testClockMillis is an arbitrary simulated time, in ms.
const testClockMillis = 58225

// createInstanceRecord returns a record that starts instance 3.
func createInstanceRecord(settings string) *simwire.Reply {
	reply := &simwire.Reply{}
	reply.Record(eventCreate).Uint32(3).Uint64(9)
	return appendLongText(reply, settings)
}

// appendLongText appends a text after its length of four bytes.
func appendLongText(reply *simwire.Reply, text string) *simwire.Reply {
	reply.Uint32(uint32(len(text)))
	for _, character := range []byte(text) {
		reply.Uint8(character)
	}
	return reply
}

func TestRun_ReturnsErrorForFaultyInput(t *testing.T) {
	oversizedList := createInstanceRecord(validSettings)
	oversizedList.Record(eventEndpoints).Uint32(3).Uint8(2).Uint64(1).Uint32(1 << 30)
	frame := func(recordCount uint32, events *simwire.Reply) []byte {
		return frameOf(t, recordCount, testClockMillis, events)
	}
	unknownKind := (&simwire.Reply{}).Record(eventEndpoints).Uint32(3).Uint8(4).Uint64(1).Uint32(0)
	unknownStatus := (&simwire.Reply{}).Record(eventCounterResult).Uint32(3).Uint16(99).Uint64(1).Float64(1).Float32(1)
	for want, input := range map[string][]byte{
		"":                                       frame(0, &simwire.Reply{}),
		"batch 0: frame header: 3 of 16":         {1, 2, 3},
		"frame body: 0 of":                       frame(1, createInstanceRecord(validSettings))[:frameHeaderBytes],
		"frame body: 3 of":                       frame(1, createInstanceRecord(validSettings))[:frameHeaderBytes+3],
		"record 0 (code 99 ) at byte 0: unknown": frame(1, (&simwire.Reply{}).Record(99).Uint32(3)),
		"code 1 View":                            frame(2, oversizedList),
		"unknown kind of endpoint update 4":      frame(1, unknownKind),
		"(code 10 TallyBack) at byte 0: unknown status 99": frame(1, unknownStatus),
		"7 records do not fit into a body of 1 bytes":      frame(7, (&simwire.Reply{}).Record(eventKill)),
		"1 bytes after the last":                           frame(1, createInstanceRecord(validSettings).Uint8(0)),
	} {
		var output bytes.Buffer
		err := Run(bytes.NewReader(input), &output)
		if want == "" && (err != nil || output.Len() != replyHeaderBytes) {
			t.Errorf("empty frame: %v, %d bytes of reply", err, output.Len())
		}
		if want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("no error with %q: %v", want, err)
		}
	}
}

func TestRun_ReportsFaultySettingsAsInstanceFailure(t *testing.T) {
	for want, settings := range map[string]string{
		"no JSON":                       "{",
		"permissions.send-cap is miss":  strings.Replace(validSettings, `"send-cap": 3, `, "", 1),
		"lanes[0].effect is \"odd\"":    strings.Replace(validSettings, "read_like", "odd", 1),
		"tariffs[0].quota-rate is of t": strings.Replace(validSettings, `"quota-rate": 0`, `"quota-rate": "x"`, 1),
	} {
		var output bytes.Buffer
		err := Run(bytes.NewReader(frameOf(t, 1, testClockMillis, createInstanceRecord(settings))), &output)
		if err != nil || !strings.Contains(output.String(), want) {
			t.Errorf("no failure with %q: %v, %q", want, err, output.String())
		}
	}
}

func TestRun_SendsAttemptAndAbortsRequestOfUnknownClass(t *testing.T) {
	events := createInstanceRecord(validSettings)
	events.Record(eventEndpoints).Uint32(3).Uint8(2).Uint64(1).Uint32(1).
		Uint32(77).Uint16(0).Uint8(0).Uint16(0).Uint8(stateReady).Float32(1).Float64(0)
	submit := func(id uint64, class uint16) {
		events.Record(eventSubmit).Uint32(3).Uint64(id).Uint16(class).Uint32(0).Uint64(5).Float64(2000).
			Float32(1).Float32(2).Float32(0).Uint8(0)
	}
	submit(123, 0)
	submit(124, 9)
	events.Record(eventAttemptResult).Uint32(3).Uint64(999).Uint8(0).Uint32(77).Uint16(100).Float64(1).
		Uint8(1).Uint16(0).Uint16(0).Uint8(0) // for a request that is not in flight
	var output bytes.Buffer
	if err := Run(bytes.NewReader(frameOf(t, 5, testClockMillis, events)), &output); err != nil {
		t.Fatal(err)
	}
	sent := recordsOf(t, (&simwire.Reply{}).Record(actionSend).Uint32(3).Uint64(123).Uint32(77))
	if !bytes.Contains(output.Bytes(), sent) {
		t.Error("no attempt was sent for request 123")
	}
	aborted := recordsOf(t, (&simwire.Reply{}).Record(actionAbort).Uint32(3).Uint64(124))
	if !bytes.Contains(output.Bytes(), aborted) {
		t.Error("request 124, of an unknown class, was not aborted")
	}
}
