package billing

import "cmp"

// endedRetentionLeases is how long the id of an ended reservation is retained, as a multiple of Settings.MaxLeaseNanos.
// It exceeds the time for which any holder can still consider its lease valid.
const endedRetentionLeases = 2

// Reservation is a part of a window's allowance that only its holder may use, until its lease expires.
type Reservation struct {
	ID               string     `json:"id"`
	Plan             string     `json:"plan"`
	WindowStartNanos int64      `json:"window"` // start of the window whose allowance it uses, unix ns
	Remaining        MicroUnits `json:"left"`
	ExpiresNanos     int64      `json:"until"` // unix ns
	Epoch            uint64     `json:"epoch"` // raised by each commit and transfer
	Holder           string     `json:"holder"`
}

// ReservationRequest holds the arguments of Account.Reserve.
type ReservationRequest struct {
	ID         string
	Holder     string
	Plan       string // used if no change has set the tenant's plan
	MicroUnits MicroUnits
	LeaseNanos int64 // duration of the lease
}

// Reserve reserves units of the window that contains nowNanos. If the same holder already has a reservation with the
// id, Reserve returns that reservation unchanged, so a client may repeat the call. The error wraps ErrOutOfRange,
// ErrNotFound, ErrConflict, ErrExpired or ErrNoCapacity.
func (a Account) Reserve(
	settings Settings, nowNanos int64, request ReservationRequest,
) (Account, Reservation, error) {
	plan := cmp.Or(a.PlanAt(nowNanos), request.Plan)
	if err := checkID(request.ID); err != nil {
		return a, Reservation{}, err
	}
	if _, ok := settings.Plans[plan]; !ok {
		return a, Reservation{}, wrapWithSubject(ErrNotFound, "plan %.80q", plan)
	}
	expiresNanos, err := settings.leaseExpiryNanos(nowNanos, request.LeaseNanos)
	if err != nil {
		return a, Reservation{}, err
	}
	if request.MicroUnits <= 0 || request.MicroUnits > maxMicroUnits {
		return a, Reservation{}, wrapWithSubject(ErrOutOfRange, "a reservation of %g units", request.MicroUnits.Float())
	}
	a = a.ExpireReservations(settings, nowNanos)
	if existing, ok := a.Reservations[request.ID]; ok && existing.Holder == request.Holder {
		return a, existing, nil
	}
	reservation := Reservation{
		ID:               request.ID,
		Plan:             plan,
		WindowStartNanos: settings.WindowStart(nowNanos),
		Remaining:        request.MicroUnits,
		ExpiresNanos:     expiresNanos,
		Epoch:            a.Epoch + 1,
		Holder:           request.Holder,
	}
	if err := a.checkReservation(settings, nowNanos, reservation); err != nil {
		return a, Reservation{}, err
	}
	a = a.clone()
	a.Epoch = reservation.Epoch
	a.Reservations[reservation.ID] = reservation
	return a, reservation, nil
}

// checkReservation checks that the id of a new reservation is unused, that its window has enough available units, and
// that the account can hold one more reservation.
func (a Account) checkReservation(settings Settings, nowNanos int64, reservation Reservation) error {
	if _, ok := a.Reservations[reservation.ID]; ok {
		return wrapWithSubject(ErrConflict, "reservation %q", reservation.ID)
	}
	if _, ok := a.EndedReservations[reservation.ID]; ok {
		return wrapWithSubject(ErrExpired, "reservation %q", reservation.ID)
	}
	available := a.Available(settings, reservation.WindowStartNanos, nowNanos, reservation.Plan)
	if reservation.Remaining > available {
		return wrapWithSubject(ErrNoCapacity, "the window, for %g units of %g,",
			reservation.Remaining.Float(), max(available, 0).Float())
	}
	if len(a.Reservations) >= maxReservations {
		return wrapWithSubject(ErrNoCapacity, "the list of reservations, of %d,", maxReservations)
	}
	return nil
}

// activeReservation returns the reservation with the given id. It returns an error if the reservation or its lease has
// ended, or if its epoch is not the given one.
func (a Account) activeReservation(nowNanos int64, id string, epoch uint64) (Reservation, error) {
	reservation, ok := a.Reservations[id]
	switch {
	case !ok && a.EndedReservations[id] != 0:
		return reservation, wrapWithSubject(ErrExpired, "reservation %q", id)
	case !ok:
		return reservation, wrapWithSubject(ErrNotFound, "reservation %.80q", id)
	case reservation.Epoch != epoch:
		return reservation, wrapWithSubject(ErrStaleEpoch,
			"epoch %d of reservation %q, which is at %d,", epoch, id, reservation.Epoch)
	case nowNanos >= reservation.ExpiresNanos:
		return reservation, wrapWithSubject(ErrExpired, "the lease of reservation %q", id)
	}
	return reservation, nil
}

// Commit turns reserved units into usage. It raises the reservation's epoch and returns the reservation with the new
// epoch, which the next commit must name. Therefore a commit that is sent twice is applied once, and the second one
// fails with ErrStaleEpoch. The error may also wrap ErrNotFound, ErrExpired or ErrOutOfRange.
func (a Account) Commit(
	settings Settings, nowNanos int64, id string, epoch uint64, units MicroUnits,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, epoch)
	if err != nil {
		return a, reservation, err
	}
	if units <= 0 || units > reservation.Remaining {
		return a, reservation, wrapWithSubject(ErrOutOfRange,
			"a commit of %g units of the %g that reservation %q holds",
			units.Float(), reservation.Remaining.Float(), id)
	}
	a = a.clone()
	a.ensureWindow(reservation.WindowStartNanos).UnexportedByPlan[reservation.Plan] += units
	a.Epoch++
	reservation.Remaining -= units
	reservation.Epoch = a.Epoch
	a.Reservations[id] = reservation
	if reservation.Remaining == 0 {
		a.endReservation(settings, nowNanos, id)
	}
	return a, reservation, nil
}

// Renew sets the expiry of a reservation's lease to leaseNanos from now. The error wraps ErrNotFound, ErrStaleEpoch,
// ErrExpired or ErrOutOfRange.
func (a Account) Renew(
	settings Settings, nowNanos int64, id string, epoch uint64, leaseNanos int64,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, epoch)
	if err != nil {
		return a, reservation, err
	}
	if reservation.ExpiresNanos, err = settings.leaseExpiryNanos(nowNanos, leaseNanos); err != nil {
		return a, reservation, err
	}
	a = a.clone()
	a.Reservations[id] = reservation
	return a, reservation, nil
}

// TransferReservation makes another holder the holder of a reservation, with a new lease and a new epoch. Later
// operations of the previous holder fail with ErrStaleEpoch. The error wraps ErrNotFound, ErrExpired or ErrOutOfRange.
func (a Account) TransferReservation(
	settings Settings, nowNanos int64, id, holder string, leaseNanos int64,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, a.Reservations[id].Epoch)
	if err != nil {
		return a, reservation, err
	}
	if reservation.ExpiresNanos, err = settings.leaseExpiryNanos(nowNanos, leaseNanos); err != nil {
		return a, reservation, err
	}
	a = a.clone()
	a.Epoch++
	reservation.Epoch = a.Epoch
	reservation.Holder = holder
	a.Reservations[id] = reservation
	return a, reservation, nil
}

// Release ends a reservation, which makes its remaining units available again. The error wraps ErrNotFound,
// ErrStaleEpoch or ErrExpired.
func (a Account) Release(settings Settings, nowNanos int64, id string, epoch uint64) (Account, error) {
	if _, err := a.activeReservation(nowNanos, id, epoch); err != nil {
		return a, err
	}
	a = a.clone()
	a.endReservation(settings, nowNanos, id)
	return a, nil
}

// endReservation removes a reservation and retains its id for as long as a client may still send requests for it. The
// account must be a clone.
func (a *Account) endReservation(settings Settings, nowNanos int64, id string) {
	delete(a.Reservations, id)
	a.EndedReservations[id] = nowNanos + endedRetentionLeases*settings.MaxLeaseNanos
}

// EndReservationsBefore ends the reservations in windows that began before a time (unix ns), and returns their number.
// Each id is retained until the reservation's lease expires.
func (a Account) EndReservationsBefore(beforeNanos int64) (Account, int) {
	countBefore := len(a.Reservations)
	a = a.clone()
	for id, reservation := range a.Reservations {
		if reservation.WindowStartNanos < beforeNanos {
			delete(a.Reservations, id)
			a.EndedReservations[id] = reservation.ExpiresNanos
		}
	}
	return a, countBefore - len(a.Reservations)
}

// ExpireReservations ends the reservations whose leases have expired on every instance's clock, which makes their
// remaining units available again. It also drops the ids of ended reservations whose retention is over.
func (a Account) ExpireReservations(settings Settings, nowNanos int64) Account {
	var expired, retentionEnded []string
	for id, reservation := range a.Reservations {
		if nowNanos >= reservation.ExpiresNanos+settings.ClockSkewNanos {
			expired = append(expired, id)
		}
	}
	for id, retainedUntilNanos := range a.EndedReservations {
		if nowNanos >= retainedUntilNanos {
			retentionEnded = append(retentionEnded, id)
		}
	}
	if len(expired)+len(retentionEnded) == 0 {
		return a
	}
	a = a.clone()
	for _, id := range retentionEnded {
		delete(a.EndedReservations, id)
	}
	for _, id := range expired {
		a.endReservation(settings, nowNanos, id)
	}
	return a
}
