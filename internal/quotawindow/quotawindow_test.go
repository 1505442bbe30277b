package quotawindow

import "testing"

func TestAt_WindowsFollowWithoutAGap(t *testing.T) {
	for _, offset := range []uint64{0, 3, 10, 1<<64 - 1} {
		previous := At(99, 10, offset)
		for now := int64(100); now < 200; now++ {
			window := At(now, 10, offset)
			if window.Start > now || now >= window.Start+10 {
				t.Fatalf("offset %d: %d lies outside of its window %+v", offset, now, window)
			}
			if window != previous && (window.Index != previous.Index+1 || window.Start != previous.Start+10) {
				t.Fatalf("offset %d: %+v follows %+v", offset, window, previous)
			}
			previous = window
		}
	}
}

func TestAt_OffsetShiftsTheStart(t *testing.T) {
	if plain, shifted := At(100, 10, 0), At(100, 10, 13); plain.Start != 100 || shifted.Start != 97 {
		t.Errorf("windows start at %d and %d, want 100 and 97", plain.Start, shifted.Start)
	}
}
