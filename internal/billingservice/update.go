package billingservice

import (
	"fmt"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// operation is an operation of package billing, bound to its arguments. It may be called more than once.
type operation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, error)

// reservationOperation is an operation that also returns the resulting reservation.
type reservationOperation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, billing.Reservation, error)

// accountReader reads an account and its index.
type accountReader func(tenant string) (billing.Account, kv.Index, error)

// updateResult is how an attempt to update an account ended.
type updateResult int

const (
	updateCommitted  updateResult = iota
	updateRejected                // by package billing
	updateConflicted              // somebody else has changed the account since it was read
	updateFailed                  // the account cannot be read, or the write may still be committed
)

// update applies an operation to an account. An operation that succeeds on this replica's copy costs one
// write. The copy may be out of date, so after a rejection or a conflict update reads the account from the
// leader. Its errors are those of SchedulePlanChange.
func (s *Service) update(tenant string, operate operation) error {
	deadline := time.Now().Add(operationTimeout)
	result, err := s.attemptUpdate(tenant, operate, s.readLocalAccount)
	if result == updateRejected {
		result, err = s.attemptUpdate(tenant, operate, s.readAccountFromLeader)
	}
	for result == updateConflicted {
		if time.Now().After(deadline) {
			return ErrStore // every write met a conflict, so nothing is committed
		}
		result, err = s.attemptUpdate(tenant, operate, s.readAccountFromLeader)
	}
	switch result {
	case updateCommitted:
		s.counts.Operations.Add(1)
		return nil
	case updateRejected:
		s.counts.Rejected.Add(1)
		return err
	default:
		return fmt.Errorf("%w (%w)", ErrStore, err)
	}
}

// attemptUpdate reads an account, applies an operation to it and writes the result, once.
func (s *Service) attemptUpdate(
	tenant string, operate operation, read accountReader,
) (updateResult, error) {
	account, index, err := read(tenant)
	if err != nil {
		return updateFailed, err
	}
	updated, err := operate(s.options.Settings(), s.options.Now().UnixNano(), account)
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

// updateReservation applies an operation to an account and returns the reservation of its last attempt.
func (s *Service) updateReservation(
	tenant string, operate reservationOperation,
) (billing.Reservation, error) {
	var reservation billing.Reservation
	err := s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		var err error
		a, reservation, err = operate(settings, nowNanos, a)
		return a, err
	})
	return reservation, err
}
