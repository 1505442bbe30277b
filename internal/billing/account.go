package billing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Account is a tenant's. It is not changed: each operation gives a new one.
type Account struct {
	Tenant  string       `json:"gestoria"`
	Changes []PlanChange `json:"changes,omitempty"` // in order of their moments
	Windows []Window     `json:"windows,omitempty"` // not exported yet, or open, in order
	// Reservations are those in force, by id.
	Reservations map[string]Reservation `json:"holds,omitempty"`
	// EndedReservations are the ids of those that ended, with the moment (unix ns) until which they are
	// remembered.
	EndedReservations map[string]int64 `json:"ended,omitempty"`
	// Epoch is that of the last change of a reservation: no two have one in common.
	Epoch uint64 `json:"epoch,omitempty"`
}

// What is wrong with a request; each error wraps one of them and names what it is about.
var (
	ErrUnknown    = errors.New("is not known")
	ErrConflict   = errors.New("is taken")
	ErrTooSoon    = errors.New("is too soon")
	ErrExpired    = errors.New("is over")
	ErrStaleEpoch = errors.New("is gone by")
	ErrNoCapacity = errors.New("has no room")
	ErrOutOfRange = errors.New("is out of range")
)

// Bounds of an account: it is one value of the store.
const (
	maxReservations = 200
	maxChanges      = 100
	maxIDBytes      = 64
)

// annotate gives an error that reads "SUBJECT is not known", say, and wraps err.
func annotate(err error, format string, args ...any) error {
	return fmt.Errorf("%s %w", fmt.Sprintf(format, args...), err)
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return annotate(ErrOutOfRange, "id %.80q, of 1 to %d bytes,", id, maxIDBytes)
	}
	return nil
}

// clone copies all that an operation may change, with maps that can be written to.
func (a Account) clone() Account {
	a.Changes = slices.Clone(a.Changes)
	a.Windows = slices.Clone(a.Windows)
	for n := range a.Windows {
		a.Windows[n].Used = maps.Clone(a.Windows[n].Used)
	}
	a.Reservations = maps.Clone(a.Reservations)
	if a.Reservations == nil {
		a.Reservations = map[string]Reservation{}
	}
	a.EndedReservations = maps.Clone(a.EndedReservations)
	if a.EndedReservations == nil {
		a.EndedReservations = map[string]int64{}
	}
	return a
}

// IsEmpty reports whether there is nothing to store.
func (a Account) IsEmpty() bool {
	return len(a.Changes)+len(a.Windows)+len(a.Reservations)+len(a.EndedReservations) == 0
}
