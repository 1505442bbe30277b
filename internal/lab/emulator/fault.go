package emulator

// faultChange says whether a fault begins or ends. Its value is what that adds to the number of active
// faults.
type faultChange int

const (
	faultBegins faultChange = 1
	faultEnds   faultChange = -1
)

// faultEdge says what a change means for a kind of fault. Faults of a kind may overlap: as a rule only the
// begin of the first one and the end of the last one have an effect.
type faultEdge uint8

const (
	noEdge    faultEdge = iota // others of the kind were active before and are active still
	firstEdge                  // the first one has begun
	lastEdge                   // the last one has ended
)

// count adds the change to the number of active faults of a kind.
func (c faultChange) count(active *int) faultEdge {
	*active += int(c)
	switch {
	case c == faultBegins && *active == 1:
		return firstEdge
	case c == faultEnds && *active == 0:
		return lastEdge
	}
	return noEdge
}
