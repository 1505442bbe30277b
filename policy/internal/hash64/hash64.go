// Package hash64 hashes 64-bit integers. It has no state and is safe for concurrent use.
package hash64

// The shifts and multipliers of SplitMix64.
const (
	firstShift       = 30
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondShift      = 27
	secondMultiplier = 0x94d049bb133111eb
	lastShift        = 31
)

// Mix returns a hash of x, computed by the finalizer of SplitMix64. Each bit of the hash depends on all bits of x, and
// no two numbers have the same hash. Equal numbers give equal hashes in every process, so that instances agree without
// exchanging messages.
func Mix(x uint64) uint64 {
	x = (x ^ x>>firstShift) * firstMultiplier
	x = (x ^ x>>secondShift) * secondMultiplier
	return x ^ x>>lastShift
}
