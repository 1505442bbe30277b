// Package rights is what a key of the operator file may do at the limits' address. It decides nothing: it names.
package authz

// Right is what a key may do; rights add up.
type Right uint8

// The rights. Where there are no keys, anybody may check, and nobody may do the rest.
const (
	Check   Right = 1 << iota // LIMIT.CHECK, LIMIT.PEEK, CL.THROTTLE
	Read                      // lists and room
	Reserve                   // RESERVE commands
	Change                    // PLAN commands
)

// Names are their words in the operator file.
var Names = map[string]Right{"check": Check, "read": Read, "reserve": Reserve, "change": Change}

// Key is what a client shows by AUTH name secret.
type Key struct {
	Secret []byte
	Rights Right
}
