// Package pcg implements a permuted congruential generator (PCG-XSH-RR 64/32). It is used instead of math/rand
// because recorded runs depend on the stream: equal seeds must always give equal streams. A Source is not safe
// for concurrent use.
package pcg

import "math/bits"

// Source is a stream of pseudo-random numbers.
type Source struct{ state uint64 }

// Multiplier and increment of the underlying linear congruential generator, with the values of PCG's reference
// implementation.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Shifts of the output function XSH-RR: the state is xorshifted, its high bits are taken, and they are rotated
// by the number in the five highest bits of the state.
const (
	xorShift      = 18
	outputShift   = 27
	rotationShift = 59
)

const (
	uint64Bits   = 64
	uint32Bits   = 32
	fractionBits = 53 // of a float64, including the implicit leading bit
)

// New returns the stream of the seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + increment}
	s.next()
	return s
}

func (s *Source) next() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	xorShifted := uint32((old>>xorShift ^ old) >> outputShift)
	return bits.RotateLeft32(xorShifted, -int(old>>rotationShift))
}

// Uint64 returns 64 random bits.
func (s *Source) Uint64() uint64 {
	high := uint64(s.next())
	low := uint64(s.next())
	return high<<uint32Bits | low
}

// Float64 returns a uniformly distributed number in [0, 1) with 53 random bits.
func (s *Source) Float64() float64 {
	return float64(s.Uint64()>>(uint64Bits-fractionBits)) / (1 << fractionBits)
}
