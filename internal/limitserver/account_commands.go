package limitserver

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/billing"
)

// Accounts schedules plan changes and reserves units of tenants' quotas. The server answers these commands with it:
//
//	PLAN.CHANGE tenant id plan at         schedules a plan change; at is in milliseconds since 1970, or +milliseconds
//	                                      from now; the answer is the time in milliseconds since 1970
//	PLAN.TAKEBACK tenant id               cancels a scheduled plan change
//	PLAN.LIST tenant                      arrays of id, plan, milliseconds since 1970
//	RESERVE.NEW tenant id holder plan units lease-ms
//	RESERVE.COMMIT tenant id epoch units
//	RESERVE.RENEW tenant id epoch lease-ms
//	RESERVE.TAKE tenant id holder lease-ms
//	RESERVE.RELEASE tenant id epoch
//	RESERVE.LIST tenant                   arrays of id, epoch, units left, expiry in milliseconds since 1970, holder
//	RESERVE.ROOM tenant plan              units that may still be reserved now
//
// RESERVE.TAKE transfers a reservation to another holder. RESERVE.NEW, COMMIT, RENEW and TAKE answer with the epoch
// that the next command on the reservation must state, the units left, and the time at which the reservation expires,
// or with OK if nothing is left of the reservation.
type Accounts interface {
	SchedulePlanChange(tenant string, change billing.PlanChange) error
	CancelPlanChange(tenant, id string) error
	Reserve(tenant string, request billing.ReservationRequest) (billing.Reservation, error)
	Commit(tenant, id string, epoch uint64, units billing.MicroUnits) (billing.Reservation, error)
	Renew(tenant, id string, epoch uint64, lease time.Duration) (billing.Reservation, error)
	TransferReservation(tenant, id, holder string, lease time.Duration) (billing.Reservation, error)
	Release(tenant, id string, epoch uint64) error
	Account(tenant, plan string) (billing.Account, billing.MicroUnits, error)
}

// The numbers of fields in the arrays of the answers.
const (
	planChangeFields       = 3 // id, plan, time
	reservationFields      = 5 // id, epoch, units left, expiry, holder
	reservationStateFields = 3 // epoch, units left, expiry
)

// accountCommand describes a command on accounts.
type accountCommand struct {
	arguments int // the required number of arguments, including the tenant, which is the first
	handler   func(accounts Accounts, out []byte, args *arguments) ([]byte, error)
}

// accountCommands maps the name of each command on accounts to its description. The right that a command requires is
// not stated here: requiredRight derives it from the name.
var accountCommands = map[string]accountCommand{
	"PLAN.CHANGE":     {4, schedulePlanChange},
	"PLAN.TAKEBACK":   {2, cancelPlanChange},
	"PLAN.LIST":       {1, listPlanChanges},
	"RESERVE.NEW":     {6, reserve},
	"RESERVE.COMMIT":  {4, commitReservation},
	"RESERVE.RENEW":   {4, renewReservation},
	"RESERVE.TAKE":    {4, transferReservation},
	"RESERVE.RELEASE": {3, releaseReservation},
	"RESERVE.LIST":    {1, listReservations},
	"RESERVE.ROOM":    {2, reservableUnits},
}

// run executes the command and returns out with the answer appended.
func (c accountCommand) run(accounts Accounts, out []byte, rawArgs [][]byte) ([]byte, error) {
	args, err := newArguments(rawArgs)
	if err != nil {
		return nil, err
	}
	return c.handler(accounts, out, args)
}

func schedulePlanChange(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	change := billing.PlanChange{ID: args.text(), Plan: args.text(), EffectiveNanos: args.timestampNanos()}
	if args.err != nil {
		return nil, args.err
	}
	if err := accounts.SchedulePlanChange(args.tenant, change); err != nil {
		return nil, err
	}
	return redcon.AppendInt(out, change.EffectiveNanos/nanosPerMilli), nil
}

func cancelPlanChange(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	if err := accounts.CancelPlanChange(args.tenant, args.text()); err != nil {
		return nil, err
	}
	return redcon.AppendOK(out), nil
}

func reserve(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	request := billing.ReservationRequest{
		ID:         args.text(),
		Holder:     args.text(),
		Plan:       args.text(),
		MicroUnits: args.units(),
		LeaseNanos: int64(args.lease()),
	}
	if args.err != nil {
		return nil, args.err
	}
	reservation, err := accounts.Reserve(args.tenant, request)
	return appendReservation(out, reservation, err)
}

func commitReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	epoch := args.epoch()
	units := args.units()
	if args.err != nil {
		return nil, args.err
	}
	reservation, err := accounts.Commit(args.tenant, id, epoch, units)
	return appendReservation(out, reservation, err)
}

func renewReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	epoch := args.epoch()
	lease := args.lease()
	if args.err != nil {
		return nil, args.err
	}
	reservation, err := accounts.Renew(args.tenant, id, epoch, lease)
	return appendReservation(out, reservation, err)
}

func transferReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	holder := args.text()
	lease := args.lease()
	if args.err != nil {
		return nil, args.err
	}
	reservation, err := accounts.TransferReservation(args.tenant, id, holder, lease)
	return appendReservation(out, reservation, err)
}

func releaseReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	epoch := args.epoch()
	if args.err != nil {
		return nil, args.err
	}
	if err := accounts.Release(args.tenant, id, epoch); err != nil {
		return nil, err
	}
	return redcon.AppendOK(out), nil
}

// appendReservation appends the state of a reservation, or OK if reservation is the zero value, which means that
// nothing is left of it.
func appendReservation(out []byte, reservation billing.Reservation, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if reservation.ID == "" {
		return redcon.AppendOK(out), nil
	}
	out = redcon.AppendArray(out, reservationStateFields)
	out = redcon.AppendInt(out, int64(reservation.Epoch))
	out = redcon.AppendBulkString(out, formatUnits(reservation.Remaining))
	return redcon.AppendInt(out, reservation.ExpiresNanos/nanosPerMilli), nil
}

func reservableUnits(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	_, units, err := accounts.Account(args.tenant, args.text())
	if err != nil {
		return nil, err
	}
	return redcon.AppendBulkString(out, formatUnits(max(units, 0))), nil
}

func listPlanChanges(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	account, _, err := accounts.Account(args.tenant, "")
	if err != nil {
		return nil, err
	}
	out = redcon.AppendArray(out, len(account.PlanChanges))
	for _, change := range account.PlanChanges {
		out = redcon.AppendArray(out, planChangeFields)
		out = redcon.AppendBulkString(out, change.ID)
		out = redcon.AppendBulkString(out, change.Plan)
		out = redcon.AppendInt(out, change.EffectiveNanos/nanosPerMilli)
	}
	return out, nil
}

func listReservations(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	account, _, err := accounts.Account(args.tenant, "")
	if err != nil {
		return nil, err
	}
	out = redcon.AppendArray(out, len(account.Reservations))
	for _, reservation := range account.Reservations {
		out = redcon.AppendArray(out, reservationFields)
		out = redcon.AppendBulkString(out, reservation.ID)
		out = redcon.AppendInt(out, int64(reservation.Epoch))
		out = redcon.AppendBulkString(out, formatUnits(reservation.Remaining))
		out = redcon.AppendInt(out, reservation.ExpiresNanos/nanosPerMilli)
		out = redcon.AppendBulkString(out, reservation.Holder)
	}
	return out, nil
}

// formatUnits formats units as a decimal number without an exponent.
func formatUnits(units billing.MicroUnits) string {
	return strconv.FormatFloat(units.Float(), 'f', -1, 64)
}
