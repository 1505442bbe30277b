// Package authz defines what a key in the operator file may do at the address for limit commands. It makes no
// decisions: package limitserver does. Everything in it is constant, and safe for concurrent use.
package authz

// Right is what a key may do. Rights are bits: a key with several rights has their sum, and 0 means no right.
type Right uint8

// The rights. If there are no keys, every client has Check and none has any other right.
const (
	Check   Right = 1 << iota // LIMIT.CHECK, LIMIT.PEEK, CL.THROTTLE
	Read                      // lists of plans and reservations, and the units that may still be reserved
	Reserve                   // RESERVE commands
	Change                    // PLAN commands
)

// RightsByName maps the words in the operator file to rights. It must not be modified.
var RightsByName = map[string]Right{
	"check":   Check,
	"read":    Read,
	"reserve": Reserve,
	"change":  Change,
}

// Key is the secret that a client presents with AUTH name secret, and the rights that it then has.
type Key struct {
	Secret []byte
	Rights Right
}
