package hash64

import (
	"math/bits"
	"testing"
)

// TestMix_MatchesSplitMix64 compares with known values, since hashes are part of the keys on the counter: with other
// hashes, instances of different versions would split a tenant's count.
func TestMix_MatchesSplitMix64(t *testing.T) {
	const golden = 0x9e3779b97f4a7c15
	for x, want := range map[uint64]uint64{golden: 0xe220a8397b1dcdaf, 0x3c6ef372fe94f82a: 0x6e789e6aa1b965f4} {
		if got := Mix(x); got != want {
			t.Errorf("Mix(%#x) = %#x, want %#x", x, got, want)
		}
	}
}

func TestMix_SpreadsNeighbors(t *testing.T) {
	differingBits := 0
	for x := range uint64(1000) {
		differingBits += bits.OnesCount64(Mix(x) ^ Mix(x+1))
	}
	if differingBits < 30_000 || differingBits > 34_000 {
		t.Errorf("%d bits differ between the hashes of a thousand pairs of neighbors, want about 32000", differingBits)
	}
}
