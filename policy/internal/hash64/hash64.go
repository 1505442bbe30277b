// Package hash64 spreads numbers over 64 bits. It is pure and safe for concurrent use.
package hash64

// The shifts and multipliers of SplitMix64.
const (
	firstShift       = 30
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondShift      = 27
	secondMultiplier = 0x94d049bb133111eb
	lastShift        = 31
)

// Mix returns a hash that depends on every bit of x and that no other x has. Equal numbers give equal results
// in every process, so instances agree without exchanging messages. It is the final mix of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>firstShift) * firstMultiplier
	x = (x ^ x>>secondShift) * secondMultiplier
	return x ^ x>>lastShift
}
