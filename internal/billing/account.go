package billing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Account is a tenant's account. No operation modifies it: each returns a new one, so an account is safe for
// concurrent use. If an operation returns an error, the caller must not store the returned account.
type Account struct {
	Tenant      string       `json:"gestoria"`
	PlanChanges []PlanChange `json:"changes,omitempty"` // ordered by EffectiveNanos
	Windows     []Window     `json:"windows,omitempty"` // open or not yet exported, ordered by StartNanos
	// Reservations holds the reservations in force, by id.
	Reservations map[string]Reservation `json:"holds,omitempty"`
	// EndedReservations maps the id of each ended reservation to the time (unix ns) until which the id is
	// retained.
	EndedReservations map[string]int64 `json:"ended,omitempty"`
	// Epoch is the highest epoch of any reservation so far. No two reservations share an epoch. Zero means that the
	// account is new, or was empty: the epochs that it had then are the caller's to know.
	Epoch uint64 `json:"epoch,omitempty"`
}

// The reasons for rejecting an operation. Each error that an operation returns wraps one of them, and its text begins
// with the subject, such as a reservation's id. The texts are sent to clients.
var (
	// ErrNotFound reports that no plan, plan change or reservation has the given name or id.
	ErrNotFound = errors.New("is not known")
	// ErrConflict reports that an id, or the effective time of a plan change, is already in use.
	ErrConflict = errors.New("is taken")
	// ErrTooSoon reports that a plan change would take effect in less than Settings.PlanChangeNoticeNanos.
	ErrTooSoon = errors.New("is too soon")
	// ErrExpired reports that a reservation or its lease has ended, or that it is too late to cancel a plan change.
	ErrExpired = errors.New("is over")
	// ErrStaleEpoch reports that the reservation's epoch is not the one that the operation names, because the
	// reservation has changed since.
	ErrStaleEpoch = errors.New("is gone by")
	// ErrNoCapacity reports that a window has too few available units, or that a list of the account is full.
	ErrNoCapacity = errors.New("has no room")
	// ErrOutOfRange reports that an argument is outside its permitted range.
	ErrOutOfRange = errors.New("is out of range")
)

// The limits on the size of an account, which the store reads and writes as a single value.
const (
	maxReservations = 200
	maxPlanChanges  = 100
	maxIDBytes      = 64
)

// wrapWithSubject returns an error that wraps err and whose text is the formatted subject followed by that of err, as
// in "SUBJECT is not known".
func wrapWithSubject(err error, format string, args ...any) error {
	return fmt.Errorf("%s %w", fmt.Sprintf(format, args...), err)
}

// checkID checks the length of an id that a client has chosen.
func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return wrapWithSubject(ErrOutOfRange, "id %.80q, of 1 to %d bytes,", id, maxIDBytes)
	}
	return nil
}

// clone returns a copy of the account that shares no slice or map which an operation modifies. The maps of the copy
// are not nil, except that UnexportedByPlan of a window may be.
func (a Account) clone() Account {
	a.PlanChanges = slices.Clone(a.PlanChanges)
	a.Windows = slices.Clone(a.Windows)
	for i := range a.Windows {
		a.Windows[i].UnexportedByPlan = maps.Clone(a.Windows[i].UnexportedByPlan)
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

// IsEmpty reports whether the account holds nothing that has to be stored.
func (a Account) IsEmpty() bool { return a.Epoch == 0 && a.holdsNothing() }

// HoldsOnlyEpoch reports whether nothing of the account has to be stored but its epoch.
func (a Account) HoldsOnlyEpoch() bool { return a.Epoch > 0 && a.holdsNothing() }

func (a Account) holdsNothing() bool {
	return len(a.PlanChanges)+len(a.Windows)+len(a.Reservations)+len(a.EndedReservations) == 0
}
