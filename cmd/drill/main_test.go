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
	r.Record(0).U32(3).U64(9).U32(uint32(len(text)))
	for _, c := range []byte(text) {
		r.U8(c)
	}
	return r
}

func TestBadInputIsNamedAndEndsTheRun(t *testing.T) {
	list := create(settings)
	list.Record(1).U32(3).U8(2).U64(1).U32(1 << 30)
	for want, in := range map[string][]byte{
		"":                                       frame(0, &simwire.Reply{}),
		"batch 0: frame header: 3 of 16":         {1, 2, 3},
		"frame body: 3 of":                       frame(1, create(settings))[:19],
		"record 0 (code 99 ) at byte 0: unknown": frame(1, (&simwire.Reply{}).Record(99).U32(3)),
		"code 1 View":                            frame(2, list),
		"impossible count of 7 records":          frame(7, (&simwire.Reply{}).Record(9)),
		"1 bytes after the last":                 frame(1, create(settings).U8(0)),
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
	in.Record(1).U32(3).U8(2).U64(1).U32(1).U32(77).U16(0).U8(0).U16(0).U8(1).F32(1).F64(0)
	in.Record(2).U32(3).U64(123).U16(0).U32(0).U64(5).F64(2000).F32(1).F32(2).F32(0).U8(0)
	in.Record(2).U32(3).U64(124).U16(9).U32(0).U64(5).F64(2000).F32(1).F32(2).F32(0).U8(0)
	in.Record(4).U32(3).U64(999).U8(0).U32(77).U16(100).F64(1).U8(1).U16(0).U16(0).U8(0)
	var out, want bytes.Buffer
	if err := run(bytes.NewReader(frame(5, in)), &out); err != nil {
		t.Fatal(err)
	}
	(&simwire.Reply{}).Record(actHandOff).U32(3).U64(123).U32(77).WriteTo(&want)
	if !bytes.Contains(out.Bytes(), want.Bytes()[8:]) {
		t.Error("no shot for the transaction")
	}
	want.Reset()
	(&simwire.Reply{}).Record(actError).U32(3).U64(124).WriteTo(&want)
	if !bytes.Contains(out.Bytes(), want.Bytes()[8:]) {
		t.Error("a transaction of an unknown profile was not broken off")
	}
}
