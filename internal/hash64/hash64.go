// Package hash64 spreads numbers over 64 bits. It is pure and safe for concurrent use.
package hash64

// Mix returns a number that every bit of x changes, and that no other x gives. Equal numbers give equal
// results in every process: instances agree on it without a word between them. These are the last steps of
// SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
