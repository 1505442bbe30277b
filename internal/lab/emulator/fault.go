package emulator

// faultChange is the begin or the end of a fault. Its value is the change in the number of active faults.
type faultChange int

const (
	faultBegins faultChange = 1
	faultEnds   faultChange = -1
)

// faultTransition is the effect of a faultChange on a kind of fault. Faults of the same kind may overlap: for most
// kinds only the begin of the first and the end of the last have an effect.
type faultTransition uint8

const (
	noTransition   faultTransition = iota // other faults of the kind are active before and after the change
	becameActive                          // the first fault of the kind has begun
	becameInactive                        // the last active fault of the kind has ended
)

// addTo adds the change to the number of active faults of a kind, and returns the resulting transition.
func (c faultChange) addTo(active *int) faultTransition {
	*active += int(c)
	switch {
	case c == faultBegins && *active == 1:
		return becameActive
	case c == faultEnds && *active == 0:
		return becameInactive
	}
	return noTransition
}
