package billingservice

import (
	"fmt"
	"time"

	"fawnplank/internal/billing"
)

// SchedulePlanChange schedules a change of a tenant's plan, which takes effect at the change's moment. Its
// errors, like those of all operations below, wrap an error of package billing if the operation was rejected,
// and ErrStore if it is not known to be committed.
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

// Reserve reserves units of the open window.
func (s *Service) Reserve(tenant string, request billing.ReservationRequest) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.Reserve(settings, nowNanos, request)
	})
}

// Commit turns reserved units into usage. The epoch must be the reservation's current one; the returned
// reservation has the next.
func (s *Service) Commit(tenant, id string, epoch uint64, units billing.MicroUnits) (billing.Reservation, error) {
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

// TransferReservation gives a reservation to another holder.
func (s *Service) TransferReservation(
	tenant, id, holder string, lease time.Duration,
) (billing.Reservation, error) {
	return s.updateReservation(tenant, func(
		settings billing.Settings, nowNanos int64, a billing.Account,
	) (billing.Account, billing.Reservation, error) {
		return a.TransferReservation(settings, nowNanos, id, holder, int64(lease))
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

// Account returns an account as the leader has it, and how much of the open window may still be reserved
// under defaultPlan, unless a change has set the tenant's plan. Its error wraps ErrStore.
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
