// Package authz names what a key of the operator file may do at the limits' address. It decides nothing: the
// server of limit commands does. All of it is constant, and safe for concurrent use.
package authz

// Right is what a key may do. Rights are bits: a key that has several has their sum, and 0 is none.
type Right uint8

// The rights. Where there are no keys, every client may check, and none may do the rest.
const (
	Check   Right = 1 << iota // LIMIT.CHECK, LIMIT.PEEK, CL.THROTTLE
	Read                      // the lists of plans and reservations, and what may still be reserved
	Reserve                   // RESERVE commands
	Change                    // PLAN commands
)

// Names are the rights by their words in the operator file. Nobody may write to it.
var Names = map[string]Right{
	"check":   Check,
	"read":    Read,
	"reserve": Reserve,
	"change":  Change,
}

// Key is what a client shows with AUTH name secret, and what it may do then.
type Key struct {
	Secret []byte
	Rights Right
}
