package billingservice

import (
	"fmt"
	"time"

	"fawnplank/internal/billing"
)

// SchedulePlanChange schedules a change of a tenant's plan. Like those of all operations below, its error wraps an
// error of package billing if the operation was rejected, and ErrStore if the operation is not known to be committed.
func (s *Service) SchedulePlanChange(tenant string, change billing.PlanChange) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.SchedulePlanChange(settings, nowNanos, change)
	})
}

// CancelPlanChange cancels a scheduled plan change.
func (s *Service) CancelPlanChange(tenant, id string) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.CancelPlanChange(settings, nowNanos, id)
	})
}

// Reserve reserves units of the current window.
func (s *Service) Reserve(tenant string, request billing.ReservationRequest) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		if a.Epoch == 0 {
			var err error
			if a.Epoch, err = s.maxDeletedEpoch(); err != nil {
				return a, billing.Reservation{}, err
			}
		}
		return a.Reserve(settings, nowNanos, request)
	})
}

// maxDeletedEpoch returns an epoch that no reservation of a deleted account has exceeded.
func (s *Service) maxDeletedEpoch() (uint64, error) {
	state, _, err := s.readExportState()
	if err != nil {
		return 0, fmt.Errorf("%w (%w)", ErrStore, err)
	}
	return state.MaxDeletedEpoch, nil
}

// Commit turns reserved units into usage. The epoch must be the reservation's current one. The returned reservation
// has the epoch that the next operation on it must name.
func (s *Service) Commit(tenant, id string, epoch uint64, units billing.MicroUnits) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Commit(settings, nowNanos, id, epoch, units)
	})
}

// Renew sets the expiry of a reservation's lease to the given duration from now.
func (s *Service) Renew(tenant, id string, epoch uint64, lease time.Duration) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Renew(settings, nowNanos, id, epoch, int64(lease))
	})
}

// TransferReservation makes another holder the holder of a reservation, with a new lease.
func (s *Service) TransferReservation(
	tenant, id, holder string, lease time.Duration,
) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.TransferReservation(settings, nowNanos, id, holder, int64(lease))
	})
}

// Release ends a reservation, which makes its remaining units available again.
func (s *Service) Release(tenant, id string, epoch uint64) error {
	return s.update(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, error) {
		return a.Release(settings, nowNanos, id, epoch)
	})
}

// Account reads an account from the leader. It also returns how many units of the current window may still be reserved;
// defaultPlan applies if no change has set the tenant's plan. The error wraps ErrStore.
func (s *Service) Account(tenant, defaultPlan string) (billing.Account, billing.MicroUnits, error) {
	account, _, err := s.readAccountFromLeader(tenant)
	if err != nil {
		return account, 0, fmt.Errorf("%w (%w)", ErrStore, err)
	}
	settings := s.options.Settings()
	nowNanos := s.options.Now().UnixNano()
	available := account.Available(settings, settings.WindowStart(nowNanos), nowNanos, defaultPlan)
	return account, available, nil
}
