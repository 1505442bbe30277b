package quotawindow

import (
	"testing"

	"fawnplank/internal/monotime"
)

// at returns the window of ten nanoseconds that contains an instant, given in nanoseconds.
func at(now int64, offset uint64) Window { return At(monotime.FromNanos(now), 10, offset) }

func TestAt_WindowsAreContiguous(t *testing.T) {
	for _, offset := range []uint64{0, 3, 10, 1<<64 - 1} {
		previous := at(99, offset)
		for now := int64(100); now < 200; now++ {
			window := at(now, offset)
			if start := window.Start.Nanos(); start > now || now >= start+10 {
				t.Fatalf("offset %d: instant %d is outside its window %+v", offset, now, window)
			}
			if window != previous && (window.Index != previous.Index+1 || window.Start != previous.Start.Add(10)) {
				t.Fatalf("offset %d: window %+v follows %+v", offset, window, previous)
			}
			previous = window
		}
	}
}

func TestAt_OffsetShiftsWindowStart(t *testing.T) {
	if unshifted, shifted := at(100, 0).Start.Nanos(), at(100, 13).Start.Nanos(); unshifted != 100 || shifted != 97 {
		t.Errorf("windows start at %d and %d, want 100 and 97", unshifted, shifted)
	}
}
