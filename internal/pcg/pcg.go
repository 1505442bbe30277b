// Package pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
package pcg

import "math/bits"

// Source is one stream of chance. Equal seeds give equal streams.
type Source struct{ state uint64 }

const step, odd = 6364136223846793005, 1442695040888963407

// New starts a stream from a seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + odd}
	s.next()
	return s
}

func (s *Source) next() uint32 {
	old := s.state
	s.state = old*step + odd
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Uint64 gives 64 random bits.
func (s *Source) Uint64() uint64 { return uint64(s.next())<<32 | uint64(s.next()) }

// Float64 gives a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }
