package dnszone

import (
	"fmt"
	"testing"
)

// TestReplayGuard_BoundsMemory checks and records an update every tenth of a second for more than an hour.
func TestReplayGuard_BoundsMemory(t *testing.T) {
	guard := NewReplayGuard(10, 0)
	nowNanos := int64(1e12)
	for n := range 50000 {
		nowNanos += 1e8
		signature := Signature{MAC: fmt.Sprint(n), TimeSignedSeconds: nowNanos / 1e9}
		if verdict, _ := guard.Check(signature, "x", nowNanos); verdict != VerdictAccept {
			t.Fatal(n, verdict)
		}
		guard.RecordOutcome(signature, Outcome{Sender: "x"}, nowNanos)
	}
	if n := guard.Len(); n > 10*FudgeSeconds+11 {
		t.Errorf("%d remembered", n)
	}
}
