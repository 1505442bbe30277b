package billing

import "cmp"

// endedLeases is for how many of the longest leases the id of an ended reservation is remembered: longer than
// any holder can take its lease to be running.
const endedLeases = 2

// Reservation is a part of a window's allowance that only its holder may use, for as long as its lease lasts.
type Reservation struct {
	ID               string     `json:"id"`
	Plan             string     `json:"plan"`
	WindowStartNanos int64      `json:"window"` // of the window whose allowance it uses, unix ns
	Remaining        MicroUnits `json:"left"`
	ExpiresNanos     int64      `json:"until"` // unix ns
	Epoch            uint64     `json:"epoch"` // raised by each commit and adoption
	Holder           string     `json:"holder"`
}

// ReservationRequest holds the arguments of Reserve.
type ReservationRequest struct {
	ID         string
	Holder     string
	Plan       string // applies if no change has set the tenant's plan
	MicroUnits MicroUnits
	LeaseNanos int64 // from now to the end of the lease, if it is not renewed
}

// Reserve reserves units of the window that contains nowNanos. Repeating an id is not an error while the same
// holder has the reservation: it has already been made, and Reserve returns it as it is. The error wraps
// ErrOutOfRange, ErrNotFound, ErrConflict, ErrExpired or ErrNoCapacity.
func (a Account) Reserve(
	settings Settings, nowNanos int64, request ReservationRequest,
) (Account, Reservation, error) {
	plan := cmp.Or(a.PlanAt(nowNanos), request.Plan)
	if err := checkID(request.ID); err != nil {
		return a, Reservation{}, err
	}
	if _, ok := settings.Plans[plan]; !ok {
		return a, Reservation{}, annotate(ErrNotFound, "plan %.80q", plan)
	}
	expires, err := settings.leaseEnd(nowNanos, request.LeaseNanos)
	if err != nil {
		return a, Reservation{}, err
	}
	if request.MicroUnits <= 0 || request.MicroUnits > maxUnitsValue {
		return a, Reservation{}, annotate(ErrOutOfRange, "a reservation of %g units", request.MicroUnits.Float())
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
		ExpiresNanos:     expires,
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

// checkReservation checks that a new reservation's id is free and that its window and the account have capacity
// for it.
func (a Account) checkReservation(settings Settings, nowNanos int64, reservation Reservation) error {
	if _, ok := a.Reservations[reservation.ID]; ok {
		return annotate(ErrConflict, "reservation %q", reservation.ID)
	}
	if _, ok := a.EndedReservations[reservation.ID]; ok {
		return annotate(ErrExpired, "reservation %q", reservation.ID)
	}
	available := a.Available(settings, reservation.WindowStartNanos, nowNanos, reservation.Plan)
	if reservation.Remaining > available {
		return annotate(ErrNoCapacity, "the window, for %g units of %g,",
			reservation.Remaining.Float(), max(available, 0).Float())
	}
	if len(a.Reservations) >= maxReservations {
		return annotate(ErrNoCapacity, "the list of reservations, of %d,", maxReservations)
	}
	return nil
}

// activeReservation returns a reservation that its holder may still use.
func (a Account) activeReservation(nowNanos int64, id string, epoch uint64) (Reservation, error) {
	reservation, ok := a.Reservations[id]
	switch {
	case !ok && a.EndedReservations[id] != 0:
		return reservation, annotate(ErrExpired, "reservation %q", id)
	case !ok:
		return reservation, annotate(ErrNotFound, "reservation %.80q", id)
	case reservation.Epoch != epoch:
		return reservation, annotate(ErrStaleEpoch,
			"epoch %d of reservation %q, which is at %d,", epoch, id, reservation.Epoch)
	case nowNanos >= reservation.ExpiresNanos:
		return reservation, annotate(ErrExpired, "the lease of reservation %q", id)
	}
	return reservation, nil
}

// Commit turns reserved units into usage. Each commit raises the epoch. Commit returns the new epoch, which
// the next commit must name. Therefore a commit that is sent twice is applied once, and the second one fails
// with ErrStaleEpoch. The error may also wrap ErrNotFound, ErrExpired or ErrOutOfRange.
func (a Account) Commit(
	settings Settings, nowNanos int64, id string, epoch uint64, units MicroUnits,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, epoch)
	if err != nil {
		return a, reservation, err
	}
	if units <= 0 || units > reservation.Remaining {
		return a, reservation, annotate(ErrOutOfRange,
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

// Renew sets the end of a reservation's lease to leaseNanos from now. The error wraps ErrNotFound, ErrStaleEpoch,
// ErrExpired or ErrOutOfRange.
func (a Account) Renew(
	settings Settings, nowNanos int64, id string, epoch uint64, leaseNanos int64,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, epoch)
	if err != nil {
		return a, reservation, err
	}
	if reservation.ExpiresNanos, err = settings.leaseEnd(nowNanos, leaseNanos); err != nil {
		return a, reservation, err
	}
	a = a.clone()
	a.Reservations[id] = reservation
	return a, reservation, nil
}

// TransferReservation gives a reservation to another holder. Whatever the old holder sends from then on has a
// stale epoch. The error wraps ErrNotFound, ErrExpired or ErrOutOfRange.
func (a Account) TransferReservation(
	settings Settings, nowNanos int64, id, holder string, leaseNanos int64,
) (Account, Reservation, error) {
	reservation, err := a.activeReservation(nowNanos, id, a.Reservations[id].Epoch)
	if err != nil {
		return a, reservation, err
	}
	if reservation.ExpiresNanos, err = settings.leaseEnd(nowNanos, leaseNanos); err != nil {
		return a, reservation, err
	}
	a = a.clone()
	a.Epoch++
	reservation.Epoch = a.Epoch
	reservation.Holder = holder
	a.Reservations[id] = reservation
	return a, reservation, nil
}

// Release gives back the remaining units of a reservation. The error wraps ErrNotFound, ErrStaleEpoch or
// ErrExpired.
func (a Account) Release(settings Settings, nowNanos int64, id string, epoch uint64) (Account, error) {
	if _, err := a.activeReservation(nowNanos, id, epoch); err != nil {
		return a, err
	}
	a = a.clone()
	a.endReservation(settings, nowNanos, id)
	return a, nil
}

// endReservation ends a reservation. Its id is remembered for as long as somebody may still send requests for
// it. The account must be a clone.
func (a *Account) endReservation(settings Settings, nowNanos int64, id string) {
	delete(a.Reservations, id)
	a.EndedReservations[id] = nowNanos + endedLeases*settings.MaxLeaseNanos
}

// ExpireReservations gives back the remaining units of reservations whose holders have not renewed them, once
// the lease has ended on every instance's clock.
func (a Account) ExpireReservations(settings Settings, nowNanos int64) Account {
	var expired, forgotten []string
	for id, reservation := range a.Reservations {
		if nowNanos >= reservation.ExpiresNanos+settings.ClockSkewNanos {
			expired = append(expired, id)
		}
	}
	for id, until := range a.EndedReservations {
		if nowNanos >= until {
			forgotten = append(forgotten, id)
		}
	}
	if len(expired)+len(forgotten) == 0 {
		return a
	}
	a = a.clone()
	for _, id := range forgotten {
		delete(a.EndedReservations, id)
	}
	for _, id := range expired {
		a.endReservation(settings, nowNanos, id)
	}
	return a
}
