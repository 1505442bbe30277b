package dnszone

import (
	"fmt"
	"testing"
)

// TestReplayGuard_BoundsMemory checks and records ten updates a second for more than an hour. The guard must discard
// outcomes whose signatures have expired.
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
		t.Errorf("%d outcomes recorded, want at most the number within the validity of a signature", n)
	}
}
