package billing

import (
	"errors"
	"fmt"
	"testing"
)

// reservationWindowStart is the start of a window in which plan small allows 70 units.
const reservationWindowStart = 6000 * second

// newReservedAccount returns an account with reservation "r" of 50 units, whose holder is "me".
func newReservedAccount(t *testing.T) (Account, Reservation) {
	t.Helper()
	request := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 50e6, LeaseNanos: 10 * second}
	account, reservation, err := Account{Tenant: "g"}.Reserve(testSettings(), reservationWindowStart, request)
	if err != nil || reservation.Remaining != 50e6 {
		t.Fatal(err)
	}
	return account, reservation
}

func TestAccount_ReserveRejectsInvalidRequests(t *testing.T) {
	settings := testSettings()
	now := reservationWindowStart
	account, reservation := newReservedAccount(t)
	valid := ReservationRequest{ID: "s", Holder: "me", Plan: "small", MicroUnits: 1e6, LeaseNanos: second}
	for name, test := range map[string]struct {
		change func(request *ReservationRequest)
		want   error
	}{
		"id of another holder": {func(r *ReservationRequest) {
			r.ID = "r"
			r.Holder = "other"
		}, ErrConflict},
		"more than available": {func(r *ReservationRequest) { r.MicroUnits = 21e6 }, ErrNoCapacity},
		"unknown plan":        {func(r *ReservationRequest) { r.Plan = "gold" }, ErrNotFound},
		"negative units":      {func(r *ReservationRequest) { r.MicroUnits = -1 }, ErrOutOfRange},
		"too many units":      {func(r *ReservationRequest) { r.MicroUnits = 1 << 60 }, ErrOutOfRange},
		"no lease":            {func(r *ReservationRequest) { r.LeaseNanos = 0 }, ErrOutOfRange},
		"lease too long":      {func(r *ReservationRequest) { r.LeaseNanos = 31 * second }, ErrOutOfRange},
		"no id":               {func(r *ReservationRequest) { r.ID = "" }, ErrOutOfRange},
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
	repeated := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 50e6, LeaseNanos: second}
	if _, existing, err := account.Reserve(settings, now, repeated); err != nil || existing != reservation {
		t.Error("a repeated request: ", err, existing)
	}
}

func TestAccount_CommitsReservationOnceAndOnlyByHolder(t *testing.T) {
	settings := testSettings()
	now := reservationWindowStart
	account, reservation := newReservedAccount(t)
	firstEpoch := reservation.Epoch
	account, reservation, err := account.Commit(settings, now, "r", firstEpoch, 20e6)
	if err != nil || reservation.Remaining != 30e6 {
		t.Fatal(err)
	}
	if _, _, err := account.Commit(settings, now, "r", firstEpoch, 20e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("a repeated commit was applied twice: ", err)
	}
	if _, _, err := account.Commit(settings, now, "r", reservation.Epoch, 31e6); !errors.Is(err, ErrOutOfRange) {
		t.Error(err)
	}
	epochBeforeTransfer := reservation.Epoch
	if account, reservation, err = account.TransferReservation(settings, now, "r", "other", 10*second); err != nil {
		t.Fatal(err)
	}
	if _, _, err := account.Commit(settings, now, "r", epochBeforeTransfer, 1e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("the previous holder committed after a transfer: ", err)
	}
	expiresNanos := reservation.ExpiresNanos
	if _, _, err := account.Commit(settings, expiresNanos, "r", reservation.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("committed after the lease expired: ", err)
	}
	expiredEverywhereNanos := expiresNanos + settings.ClockSkewNanos
	if unexpired := account.ExpireReservations(settings, expiredEverywhereNanos-1); len(unexpired.Reservations) != 1 {
		t.Error("expired while it may be committed on another clock")
	}
	afterExpiry := account.ExpireReservations(settings, expiredEverywhereNanos)
	if len(afterExpiry.Reservations) != 0 || afterExpiry.Available(settings, now, now, "small") != 50e6 {
		t.Error("not expired after the lease and the clock skew")
	}
	if _, _, err := afterExpiry.Commit(settings, now, "r", reservation.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("committed after it expired: ", err)
	}
	repeated := ReservationRequest{ID: "r", Holder: "me", Plan: "small", MicroUnits: 1e6, LeaseNanos: second}
	if _, _, err := afterExpiry.Reserve(settings, now, repeated); !errors.Is(err, ErrExpired) {
		t.Error("the id of an ended reservation was reserved again: ", err)
	}
}

// TestAccount_ExceededAllowanceKeepsReservations checks that when the usage of a window exceeds its allowance, existing
// reservations stay valid and new ones are rejected.
func TestAccount_ExceededAllowanceKeepsReservations(t *testing.T) {
	settings := testSettings()
	now := reservationWindowStart
	account, reservation := newReservedAccount(t)
	account, reservation, err := account.Commit(settings, now, "r", reservation.Epoch, 20e6)
	if err != nil {
		t.Fatal(err)
	}
	exceeded, err := account.RecordUsage(settings, now, "small", 60e6)
	if err != nil || exceeded.Available(settings, now, now, "small") >= 0 {
		t.Error(err)
	}
	request := ReservationRequest{ID: "s", Holder: "me", Plan: "small", MicroUnits: 1, LeaseNanos: second}
	if _, _, err := exceeded.Reserve(settings, now, request); !errors.Is(err, ErrNoCapacity) {
		t.Error(err)
	}
	if _, _, err := exceeded.Commit(settings, now, "r", reservation.Epoch, 30e6); err != nil {
		t.Error("an existing reservation cannot be committed: ", err)
	}
}
