// Package authz defines the rights that a key in the operator file may have at the listen address for limit commands.
// Package limitserver enforces the rights. Everything in this package is constant and safe for concurrent use.
package authz

// Right is a bit mask of permissions. Several rights are combined with a bitwise OR, and 0 means no right.
type Right uint8

// The rights. If no key is configured, every client has the right Check and no other.
const (
	Check   Right = 1 << iota // LIMIT.CHECK, LIMIT.PEEK, CL.THROTTLE
	Read                      // PLAN.LIST, RESERVE.LIST, RESERVE.ROOM
	Reserve                   // other RESERVE commands
	Change                    // other PLAN commands
)

// RightsByName maps the names of rights in the operator file to the rights. It must not be modified.
var RightsByName = map[string]Right{
	"check":   Check,
	"read":    Read,
	"reserve": Reserve,
	"change":  Change,
}

// Key is the secret that a client presents with the command AUTH, and the rights that the client has afterwards.
type Key struct {
	Secret []byte
	Rights Right
}
