// Package pcg is a permuted congruential generator (PCG-XSH-RR 64/32). It is kept here, and not taken from
// math/rand, since recorded runs depend on its stream: equal seeds give equal streams for ever. A Source is
// not safe for concurrent use.
package pcg

import "math/bits"

// Source is one stream of random numbers.
type Source struct{ state uint64 }

// The multiplier and the increment of the underlying generator, as PCG's reference implementation has them.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// New returns the stream of a seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + increment}
	s.next()
	return s
}

func (s *Source) next() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Uint64 returns 64 random bits.
func (s *Source) Uint64() uint64 { return uint64(s.next())<<32 | uint64(s.next()) }

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }
