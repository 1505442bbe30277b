package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"fawnplank/internal/simwire"
)

const settings = `{"me": 0, "replicas-of-me": 2, "new-key": 1,
	"permissions": {"send-cap": 3, "cancelling": true, "retry-after": true, "max-retry-after-ms": 1000},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000},
	"lanes": [{"goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like"}],
	"tariffs": [{"quota-rate": 0, "peak-units": 0}]}`

// frame packs events as the wire frames them: a batch has a clock where a reply has none.
func frame(count uint32, r *simwire.Reply) []byte {
	var b bytes.Buffer
	r.WriteTo(&b)
	head := binary.LittleEndian.AppendUint32(nil, uint32(b.Len()-8))
	head = binary.LittleEndian.AppendUint32(head, count)
	head = binary.LittleEndian.AppendUint64(head, 0x40ec6e2000000000)
	return append(head, b.Bytes()[8:]...)
}

func create(text string) *simwire.Reply {
	r := &simwire.Reply{}
	r.Record(0).Uint32(3).Uint64(9).Uint32(uint32(len(text)))
	for _, c := range []byte(text) {
		r.Uint8(c)
	}
	return r
}

func TestBadInputIsNamedAndEndsTheRun(t *testing.T) {
	list := create(settings)
	list.Record(1).Uint32(3).Uint8(2).Uint64(1).Uint32(1 << 30)
	for want, in := range map[string][]byte{
		"":                                       frame(0, &simwire.Reply{}),
		"batch 0: frame header: 3 of 16":         {1, 2, 3},
		"frame body: 3 of":                       frame(1, create(settings))[:19],
		"record 0 (code 99 ) at byte 0: unknown": frame(1, (&simwire.Reply{}).Record(99).Uint32(3)),
		"code 1 View":                            frame(2, list),
		"impossible count of 7 records":          frame(7, (&simwire.Reply{}).Record(9)),
		"1 bytes after the last":                 frame(1, create(settings).Uint8(0)),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if want == "" && (err != nil || out.Len() != 8) ||
			want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestBadSettingsAreReportedAsBroken(t *testing.T) {
	for want, text := range map[string]string{
		"no JSON":                       "{",
		"permissions.send-cap is miss":  strings.Replace(settings, `"send-cap": 3, `, "", 1),
		"lanes[0].effect is \"odd\"":    strings.Replace(settings, "read_like", "odd", 1),
		"tariffs[0].quota-rate is of t": strings.Replace(settings, `"quota-rate": 0`, `"quota-rate": "x"`, 1),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(frame(1, create(text))), &out)
		if err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%q: %v, %q", want, err, out.String())
		}
	}
}

func TestTransactionGoesThrough(t *testing.T) {
	in := create(settings)
	in.Record(1).Uint32(3).Uint8(2).Uint64(1).Uint32(1).Uint32(77).Uint16(0).Uint8(0).Uint16(0).Uint8(1).Float32(1).Float64(0)
	in.Record(2).Uint32(3).Uint64(123).Uint16(0).Uint32(0).Uint64(5).Float64(2000).Float32(1).Float32(2).Float32(0).Uint8(0)
	in.Record(2).Uint32(3).Uint64(124).Uint16(9).Uint32(0).Uint64(5).Float64(2000).Float32(1).Float32(2).Float32(0).Uint8(0)
	in.Record(4).Uint32(3).Uint64(999).Uint8(0).Uint32(77).Uint16(100).Float64(1).Uint8(1).Uint16(0).Uint16(0).Uint8(0)
	var out, want bytes.Buffer
	if err := run(bytes.NewReader(frame(5, in)), &out); err != nil {
		t.Fatal(err)
	}
	(&simwire.Reply{}).Record(actionSend).Uint32(3).Uint64(123).Uint32(77).WriteTo(&want)
	if !bytes.Contains(out.Bytes(), want.Bytes()[8:]) {
		t.Error("no shot for the transaction")
	}
	want.Reset()
	(&simwire.Reply{}).Record(actionAbort).Uint32(3).Uint64(124).WriteTo(&want)
	if !bytes.Contains(out.Bytes(), want.Bytes()[8:]) {
		t.Error("a transaction of an unknown profile was not broken off")
	}
}
