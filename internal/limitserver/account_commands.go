package limitserver

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/billing"
)

// Accounts changes plans and reserves allowance. It answers these commands:
//
//	PLAN.CHANGE tenant id plan at         from at on, in ms since 1970, or +ms from now; answers it in ms
//	PLAN.TAKEBACK tenant id
//	PLAN.LIST tenant                      arrays of id, plan, ms since 1970
//	RESERVE.NEW tenant id holder plan units lease-ms
//	RESERVE.COMMIT tenant id epoch units
//	RESERVE.RENEW tenant id epoch lease-ms
//	RESERVE.TAKE tenant id holder lease-ms
//	RESERVE.RELEASE tenant id epoch
//	RESERVE.LIST tenant                   arrays of id, epoch, units left, end in ms since 1970, holder
//	RESERVE.ROOM tenant plan              units that may still be reserved now
//
// NEW, COMMIT, RENEW and TAKE answer with the epoch to name in the next command, the units left, and the time
// at which the reservation expires.
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

// The number of fields in the arrays of the answers.
const (
	planChangeFields       = 3 // id, plan, time
	reservationFields      = 5 // id, epoch, units left, expiry, holder
	reservationStateFields = 3 // epoch, units left, expiry
)

// accountCommand is a command on accounts.
type accountCommand struct {
	arguments int // the required number of arguments; the first is the tenant
	answer    func(accounts Accounts, out []byte, args *arguments) ([]byte, error)
}

// accountCommands maps the names of the commands on accounts to the commands. The right that a command requires is
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
	"RESERVE.ROOM":    {2, unreservedUnits},
}

// run returns out with the command's answer appended.
func (c accountCommand) run(accounts Accounts, out []byte, words [][]byte) ([]byte, error) {
	args, err := newArguments(words)
	if err != nil {
		return nil, err
	}
	return c.answer(accounts, out, args)
}

func schedulePlanChange(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	change := billing.PlanChange{ID: args.text(), Plan: args.text(), EffectiveNanos: args.momentNanos()}
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
	r, err := accounts.Reserve(args.tenant, request)
	return appendReservation(out, r, err)
}

func commitReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	epoch := args.epoch()
	units := args.units()
	if args.err != nil {
		return nil, args.err
	}
	r, err := accounts.Commit(args.tenant, id, epoch, units)
	return appendReservation(out, r, err)
}

func renewReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	epoch := args.epoch()
	lease := args.lease()
	if args.err != nil {
		return nil, args.err
	}
	r, err := accounts.Renew(args.tenant, id, epoch, lease)
	return appendReservation(out, r, err)
}

func transferReservation(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
	id := args.text()
	holder := args.text()
	lease := args.lease()
	if args.err != nil {
		return nil, args.err
	}
	r, err := accounts.TransferReservation(args.tenant, id, holder, lease)
	return appendReservation(out, r, err)
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

// appendReservation appends the state of a reservation, or OK if nothing is left of it.
func appendReservation(out []byte, r billing.Reservation, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if r.ID == "" {
		return redcon.AppendOK(out), nil
	}
	out = redcon.AppendArray(out, reservationStateFields)
	out = redcon.AppendInt(out, int64(r.Epoch))
	out = redcon.AppendBulkString(out, formatUnits(r.Remaining))
	return redcon.AppendInt(out, r.ExpiresNanos/nanosPerMilli), nil
}

func unreservedUnits(accounts Accounts, out []byte, args *arguments) ([]byte, error) {
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
	for _, r := range account.Reservations {
		out = redcon.AppendArray(out, reservationFields)
		out = redcon.AppendBulkString(out, r.ID)
		out = redcon.AppendInt(out, int64(r.Epoch))
		out = redcon.AppendBulkString(out, formatUnits(r.Remaining))
		out = redcon.AppendInt(out, r.ExpiresNanos/nanosPerMilli)
		out = redcon.AppendBulkString(out, r.Holder)
	}
	return out, nil
}

// formatUnits formats units as decimal digits, without an exponent.
func formatUnits(u billing.MicroUnits) string { return strconv.FormatFloat(u.Float(), 'f', -1, 64) }
