package billingservice

import (
	"fmt"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// operation is an operation of package billing with its arguments bound. update may call it more than once.
type operation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, error)

// reservationOperation is an operation that also returns a reservation.
type reservationOperation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, billing.Reservation, error)

// accountReader reads an account and its index.
type accountReader func(tenant string) (billing.Account, kv.Index, error)

// updateResult is the result of an attempt to update an account.
type updateResult int

const (
	updateCommitted  updateResult = iota
	updateRejected                // package billing rejected the operation
	updateConflicted              // another write has changed the account since it was read
	updateFailed                  // the account cannot be read, or the write failed and may still be committed
)

// update applies an operation to an account and writes the result. It first reads the account from this replica, so
// that most operations need no read from the leader. This replica may be out of date, so after a rejection or a
// conflict update reads the account from the leader. Its errors are those of SchedulePlanChange.
func (s *Service) update(tenant string, apply operation) error {
	deadline := time.Now().Add(operationTimeout)
	result, err := s.attemptUpdate(tenant, apply, s.readLocalAccount)
	if result == updateRejected {
		result, err = s.attemptUpdate(tenant, apply, s.readAccountFromLeader)
	}
	for result == updateConflicted {
		if time.Now().After(deadline) {
			return ErrStore // every write met a conflict, so no write was committed
		}
		result, err = s.attemptUpdate(tenant, apply, s.readAccountFromLeader)
	}
	switch result {
	case updateCommitted:
		s.stats.Operations.Add(1)
		return nil
	case updateRejected:
		s.stats.Rejected.Add(1)
		return err
	default:
		return fmt.Errorf("%w (%w)", ErrStore, err)
	}
}

// attemptUpdate makes one attempt to read an account, apply an operation to it and write the result.
func (s *Service) attemptUpdate(
	tenant string, apply operation, read accountReader,
) (updateResult, error) {
	account, index, err := read(tenant)
	if err != nil {
		return updateFailed, err
	}
	updated, err := apply(s.options.Settings(), s.options.Now().UnixNano(), account)
	if err != nil {
		return updateRejected, err
	}
	err = s.writeAccount(updated, index)
	switch {
	case err == nil:
		return updateCommitted, nil
	case isConflict(err):
		return updateConflicted, err
	default:
		return updateFailed, err
	}
}

// updateReservation applies an operation to an account and returns the reservation that its last attempt returned.
func (s *Service) updateReservation(
	tenant string, apply reservationOperation,
) (billing.Reservation, error) {
	var reservation billing.Reservation
	err := s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		var err error
		a, reservation, err = apply(settings, nowNanos, a)
		return a, err
	})
	return reservation, err
}
