package billing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Account is a tenant's account. No operation modifies it: each returns a new one, so an account is safe for
// concurrent use. After an error, the returned account is not to be stored.
type Account struct {
	Tenant      string       `json:"gestoria"`
	PlanChanges []PlanChange `json:"changes,omitempty"` // ordered by their moments
	Windows     []Window     `json:"windows,omitempty"` // open or not yet exported, in order
	// Reservations holds the reservations in force, by id.
	Reservations map[string]Reservation `json:"holds,omitempty"`
	// EndedReservations maps the id of each ended reservation to the moment (unix ns) until which it is
	// remembered.
	EndedReservations map[string]int64 `json:"ended,omitempty"`
	// Epoch is the epoch of the last change of a reservation. No two reservations share an epoch.
	Epoch uint64 `json:"epoch,omitempty"`
}

// The reasons for rejecting an operation. Each error that an operation returns wraps one of them and names its
// subject. Clients read the texts.
var (
	// ErrNotFound reports that there is no plan, plan change or reservation of the given name or id.
	ErrNotFound = errors.New("is not known")
	// ErrConflict reports that an id, or the moment of a plan change, is in use already.
	ErrConflict = errors.New("is taken")
	// ErrTooSoon reports that a plan change lies less than Settings.PlanChangeNoticeNanos ahead.
	ErrTooSoon = errors.New("is too soon")
	// ErrExpired reports that a reservation or its lease has ended, or that a plan change can no longer be
	// canceled.
	ErrExpired = errors.New("is over")
	// ErrStaleEpoch reports that the reservation has changed since the epoch that the operation names.
	ErrStaleEpoch = errors.New("is gone by")
	// ErrNoCapacity reports that a window or a list has no capacity for what is to be added.
	ErrNoCapacity = errors.New("has no room")
	// ErrOutOfRange reports that an argument is not within its bounds.
	ErrOutOfRange = errors.New("is out of range")
)

// Bounds of an account, which is a single value of the store and is read and written as a whole.
const (
	maxReservations = 200
	maxChanges      = 100
	maxIDBytes      = 64
)

// annotate returns an error that wraps err and puts a subject before its text, as in "SUBJECT is not known".
func annotate(err error, format string, args ...any) error {
	return fmt.Errorf("%s %w", fmt.Sprintf(format, args...), err)
}

// checkID checks the length of an id that a client has chosen.
func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return annotate(ErrOutOfRange, "id %.80q, of 1 to %d bytes,", id, maxIDBytes)
	}
	return nil
}

// clone copies everything that an operation may change, with maps that can be written to.
func (a Account) clone() Account {
	a.PlanChanges = slices.Clone(a.PlanChanges)
	a.Windows = slices.Clone(a.Windows)
	for n := range a.Windows {
		a.Windows[n].UnexportedByPlan = maps.Clone(a.Windows[n].UnexportedByPlan)
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
	return len(a.PlanChanges)+len(a.Windows)+len(a.Reservations)+len(a.EndedReservations) == 0
}
