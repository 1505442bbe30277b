package billing

import (
	"errors"
	"fmt"
	"testing"
)

// reservationStart is the start of a window, in which small allows 70 units.
const reservationStart = 6000 * second

// reserved returns an account with a reservation "r" of 50 units that "me" holds.
func reserved(t *testing.T) (Account, Reservation) {
	t.Helper()
	request := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 50e6, LeaseNanos: 10 * second}
	account, reservation, err := Account{Tenant: "g"}.Reserve(testSettings(), reservationStart, request)
	if err != nil || reservation.Remaining != 50e6 {
		t.Fatal(err)
	}
	return account, reservation
}

func TestAccount_ReserveRefuses(t *testing.T) {
	settings := testSettings()
	now := reservationStart
	account, reservation := reserved(t)
	valid := ReservationRequest{ID: "s", Holder: "me", Plan: "small", MicroUnits: 1e6, LeaseNanos: second}
	for name, test := range map[string]struct {
		change func(request *ReservationRequest)
		want   error
	}{
		"another's id": {func(r *ReservationRequest) {
			r.ID = "r"
			r.Holder = "other"
		}, ErrConflict},
		"more than there is": {func(r *ReservationRequest) { r.MicroUnits = 21e6 }, ErrNoCapacity},
		"unknown plan":       {func(r *ReservationRequest) { r.Plan = "gold" }, ErrNotFound},
		"below 0":            {func(r *ReservationRequest) { r.MicroUnits = -1 }, ErrOutOfRange},
		"far too much":       {func(r *ReservationRequest) { r.MicroUnits = 1 << 60 }, ErrOutOfRange},
		"no lease":           {func(r *ReservationRequest) { r.LeaseNanos = 0 }, ErrOutOfRange},
		"lease too long":     {func(r *ReservationRequest) { r.LeaseNanos = 31 * second }, ErrOutOfRange},
		"no id":              {func(r *ReservationRequest) { r.ID = "" }, ErrOutOfRange},
	} {
		t.Run(name, func(t *testing.T) {
			request := valid
			test.change(&request)
			after, _, err := account.Reserve(settings, now, request)
			if !errors.Is(err, test.want) || fmt.Sprint(after) != fmt.Sprint(account) {
				t.Errorf("%+v: %v", request, err)
			}
		})
	}
	again := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 50e6, LeaseNanos: second}
	if _, same, err := account.Reserve(settings, now, again); err != nil || same != reservation {
		t.Error("sent twice: ", err, same)
	}
}

func TestAccount_ReservationIsCommittedOnceByItsHolder(t *testing.T) {
	settings := testSettings()
	now := reservationStart
	account, reservation := reserved(t)
	first := reservation.Epoch
	account, reservation, err := account.Commit(settings, now, "r", first, 20e6)
	if err != nil || reservation.Remaining != 30e6 {
		t.Fatal(err)
	}
	if _, _, err := account.Commit(settings, now, "r", first, 20e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("a commit sent twice was done twice: ", err)
	}
	if _, _, err := account.Commit(settings, now, "r", reservation.Epoch, 31e6); !errors.Is(err, ErrOutOfRange) {
		t.Error(err)
	}
	beforeAdoption := reservation.Epoch
	if account, reservation, err = account.TransferReservation(settings, now, "r", "other", 10*second); err != nil {
		t.Fatal(err)
	}
	if _, _, err := account.Commit(settings, now, "r", beforeAdoption, 1e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("the old holder committed what another adopted: ", err)
	}
	expires := reservation.ExpiresNanos
	if _, _, err := account.Commit(settings, expires, "r", reservation.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("committed after its lease: ", err)
	}
	expiresEverywhere := expires + settings.ClockSkewNanos
	if active := account.ExpireReservations(settings, expiresEverywhere-1); len(active.Reservations) != 1 {
		t.Error("returned while it may be committed on another clock")
	}
	expired := account.ExpireReservations(settings, expiresEverywhere)
	if len(expired.Reservations) != 0 || expired.Available(settings, now, now, "small") != 50e6 {
		t.Error("not returned")
	}
	if _, _, err := expired.Commit(settings, now, "r", reservation.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("committed and returned: ", err)
	}
	again := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 1e6, LeaseNanos: second}
	if _, _, err := expired.Reserve(settings, now, again); !errors.Is(err, ErrExpired) {
		t.Error("an id that has ended is reserved again: ", err)
	}
}

// TestAccount_OverusedWindowKeepsReservations uses more than the plan allows: no reservation is revoked, and
// no further one is made.
func TestAccount_OverusedWindowKeepsReservations(t *testing.T) {
	settings := testSettings()
	now := reservationStart
	account, reservation := reserved(t)
	account, reservation, err := account.Commit(settings, now, "r", reservation.Epoch, 20e6)
	if err != nil {
		t.Fatal(err)
	}
	overused, err := account.RecordUsage(settings, now, "small", 60e6)
	if err != nil || overused.Available(settings, now, now, "small") >= 0 {
		t.Error(err)
	}
	request := ReservationRequest{ID: "s", Holder: "me", Plan: "small", MicroUnits: 1, LeaseNanos: second}
	if _, _, err := overused.Reserve(settings, now, request); !errors.Is(err, ErrNoCapacity) {
		t.Error(err)
	}
	if _, _, err := overused.Commit(settings, now, "r", reservation.Epoch, 30e6); err != nil {
		t.Error("a reservation cannot be committed: ", err)
	}
}
