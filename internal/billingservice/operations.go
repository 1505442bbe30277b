package billingservice

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// ErrStore reports that an operation is not known to be committed. It may still be committed. If it is
// repeated with the same id or epoch, it is applied only once.
var ErrStore = errors.New("the store gives no answer; ask again with the same words")

// operation is an operation of package billing, bound to its arguments. It may be called more than once.
type operation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, error)

// update applies an operation to an account. An operation that succeeds on this replica's copy costs one
// write. After a refusal or a conflict, update reads the account from the leader.
func (s *Service) update(tenant string, operate operation) error {
	fromLeader := false
	for deadline := time.Now().Add(operationTimeout); ; fromLeader = true {
		read := s.readLocalAccount
		if fromLeader {
			read = s.readAccountFromLeader
		}
		account, index, err := read(tenant)
		if err == nil {
			updated, refusal := operate(s.options.Settings(), s.options.Now().UnixNano(), account)
			if refusal != nil && !fromLeader {
				continue
			}
			if refusal != nil {
				s.counts.Rejected.Add(1)
				return refusal
			}
			err = s.writeAccount(updated, index)
		}
		if err == nil {
			s.counts.Operations.Add(1)
			return nil
		}
		if !isConflict(err) {
			return fmt.Errorf("%w (%w)", ErrStore, err)
		}
		if time.Now().After(deadline) {
			return ErrStore
		}
	}
}

// readLocalAccount reads an account as this replica has it; see decodeAccount.
func (s *Service) readLocalAccount(tenant string) (billing.Account, kv.Index, error) {
	entry, found := s.options.Replica.ReadLocal(accountPrefix + tenant)
	return decodeAccount(tenant, entry, found)
}

// readAccountFromLeader reads an account from the leader, which has everything that is committed; see
// decodeAccount.
func (s *Service) readAccountFromLeader(tenant string) (billing.Account, kv.Index, error) {
	entry, found, err := s.options.Replica.ReadFromLeader(accountPrefix + tenant)
	if err != nil {
		return billing.Account{}, 0, err
	}
	return decodeAccount(tenant, entry, found)
}

// decodeAccount returns the account in a tenant's entry, which is an empty one if there is no entry, and its
// index. A write that names this index is committed only if nothing else was written in between.
func decodeAccount(tenant string, entry kv.Entry, found bool) (billing.Account, kv.Index, error) {
	if !found {
		return billing.Account{Tenant: tenant}, 0, nil
	}
	var account billing.Account
	if err := json.Unmarshal(entry.Value, &account); err != nil {
		return account, 0, fmt.Errorf("account of %s: %w", tenant, err)
	}
	return account, entry.Index, nil
}

func (s *Service) writeAccount(account billing.Account, index kv.Index) error {
	edit, err := editAccount(account, index)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit([]kv.Edit{edit})
}

// editAccount returns the edit that writes an account, or that deletes an empty one.
func editAccount(account billing.Account, index kv.Index) (kv.Edit, error) {
	edit := kv.Edit{Key: accountPrefix + account.Tenant, Conditional: true, ExpectedIndex: index}
	if account.IsEmpty() {
		return edit, nil
	}
	value, err := json.Marshal(account)
	edit.Value = value
	return edit, err
}

// SchedulePlanChange schedules a change of a tenant's plan, which takes effect at the change's moment.
func (s *Service) SchedulePlanChange(tenant string, change billing.PlanChange) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.SchedulePlanChange(settings, nowNanos, change)
	})
}

// CancelPlanChange cancels a plan change that has been scheduled.
func (s *Service) CancelPlanChange(tenant, id string) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.CancelPlanChange(settings, nowNanos, id)
	})
}

// reservationOperation is an operation that also returns the resulting reservation.
type reservationOperation func(
	settings billing.Settings, nowNanos int64, account billing.Account,
) (billing.Account, billing.Reservation, error)

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

// Reserve reserves units of the open window.
func (s *Service) Reserve(tenant string, request billing.ReservationRequest) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Reserve(settings, nowNanos, request)
	})
}

// Commit turns reserved units into usage.
func (s *Service) Commit(tenant, id string, epoch uint64, units billing.Units) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Commit(settings, nowNanos, id, epoch, units)
	})
}

// Renew extends a reservation's lease.
func (s *Service) Renew(tenant, id string, epoch uint64, lease time.Duration) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Renew(settings, nowNanos, id, epoch, int64(lease))
	})
}

// AdoptReservation gives a reservation to another holder.
func (s *Service) AdoptReservation(
	tenant, id, holder string, lease time.Duration,
) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.AdoptReservation(settings, nowNanos, id, holder, int64(lease))
	})
}

// Release gives back the remaining units of a reservation.
func (s *Service) Release(tenant, id string, epoch uint64) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.Release(settings, nowNanos, id, epoch)
	})
}

// Account returns an account as the leader has it, and how much of the open window may still be reserved.
func (s *Service) Account(tenant, defaultPlan string) (billing.Account, billing.Units, error) {
	account, _, err := s.readAccountFromLeader(tenant)
	if err != nil {
		return account, 0, fmt.Errorf("%w (%w)", ErrStore, err)
	}
	settings := s.options.Settings()
	nowNanos := s.options.Now().UnixNano()
	available := account.Available(settings, settings.WindowStart(nowNanos), nowNanos, defaultPlan)
	return account, available, nil
}
