package limitserver

import (
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
)

// ledger holds one tenant's account, at a fixed moment.
type ledger struct{ account billing.Account }

const now = 6000e9

var ledgerSettings = billing.Settings{
	WindowNanos:           60e9,
	PlanChangeNoticeNanos: 5e9,
	ClockSkewNanos:        1e9,
	MaxLeaseNanos:         30e9,
	ExportDelayNanos:      1e9,
	Plans:                 map[string]billing.Quota{"team": {Rate: 1, Burst: 10}},
}

// store keeps the account that an operation returned, if it succeeded.
func (l *ledger) store(account billing.Account, err error) error {
	if err == nil {
		l.account = account
	}
	return err
}

// storeReservation is store for an operation on a reservation.
func (l *ledger) storeReservation(
	account billing.Account, r billing.Reservation, err error,
) (billing.Reservation, error) {
	return r, l.store(account, err)
}

func (l *ledger) SchedulePlanChange(_ string, change billing.PlanChange) error {
	return l.store(l.account.SchedulePlanChange(ledgerSettings, now, change))
}

func (l *ledger) CancelPlanChange(_, id string) error {
	return l.store(l.account.CancelPlanChange(ledgerSettings, now, id))
}

func (l *ledger) Release(_, id string, epoch uint64) error {
	return l.store(l.account.Release(ledgerSettings, now, id, epoch))
}

func (l *ledger) Reserve(_ string, request billing.ReservationRequest) (billing.Reservation, error) {
	return l.storeReservation(l.account.Reserve(ledgerSettings, now, request))
}

func (l *ledger) Commit(_, id string, epoch uint64, units billing.MicroUnits) (billing.Reservation, error) {
	return l.storeReservation(l.account.Commit(ledgerSettings, now, id, epoch, units))
}

func (l *ledger) Renew(_, id string, epoch uint64, lease time.Duration) (billing.Reservation, error) {
	return l.storeReservation(l.account.Renew(ledgerSettings, now, id, epoch, int64(lease)))
}

func (l *ledger) TransferReservation(_, id, holder string, lease time.Duration) (billing.Reservation, error) {
	return l.storeReservation(l.account.TransferReservation(ledgerSettings, now, id, holder, int64(lease)))
}

func (l *ledger) Account(_, plan string) (billing.Account, billing.MicroUnits, error) {
	return l.account, l.account.Available(ledgerSettings, now, now, plan), nil
}

// TestServer_AnswersAccountCommands runs a session with each command on accounts. A valid command is answered
// in its form, an invalid one by an error that names its fault.
func TestServer_AnswersAccountCommands(t *testing.T) {
	s := New(Options{MaxConnections: 1, Accounts: &ledger{}, Keys: map[string]authz.Key{
		"ops": {Secret: []byte("open sesame, please"), Rights: authz.Read | authz.Reserve},
		"all": {Secret: []byte("another secret"), Rights: 255},
	}})
	var rights authz.Right
	const account = "0000000000000005 "
	for _, step := range []struct{ command, want string }{
		{"RESERVE.ROOM " + account + "team", "-NOPERM"},
		{"LIMIT.PEEK " + account + "team", "-NOPERM"},
		{"AUTH ops nonsense", "-ERR key or secret is wrong"},
		{"AUTH nobody x", "-ERR key or secret is wrong"},
		{"AUTH ops", "-ERR wrong number of arguments for 'auth'"},
		{"AUTH ops open_sesame,_please", "+OK"},
		{"PLAN.CHANGE " + account + "c team 6010000", "-NOPERM"},
		{"RESERVE.ROOM " + account + "team", "$2|70"},
		{"RESERVE.ROOM 5 team", "-ERR gestoria '5'"},
		{"RESERVE.ROOM 000000000000000A team", "-ERR gestoria"},
		{"RESERVE.ROOM ffffffffffffffff team", "-ERR gestoria"},
		{"RESERVE.NEW " + account + "r me gold 5 1000", "-ERR plan \"gold\" is not known"},
		{"RESERVE.NEW " + account + "r me team -5 1000", "-ERR units -5 are not above 0"},
		{"RESERVE.NEW " + account + "r me team NaN 1000", "-ERR units"},
		{"RESERVE.NEW " + account + "r me team 1e99 1000", "-ERR units"},
		{"RESERVE.NEW " + account + "r me team x 1000", "-ERR units 'x' are no number"},
		{"RESERVE.NEW " + account + "r me team 5 0", "-ERR lease"},
		{"RESERVE.NEW " + account + "r me team 5 99999999999", "-ERR lease"},
		{"RESERVE.NEW " + account + "r me team 5 -1", "-ERR '-1' is no whole number"},
		{"RESERVE.NEW " + account + "r me team 71 1000",
			"-ERR the window, for 71 units of 70, has no room"},
		{"RESERVE.NEW " + account + "r me team 5",
			"-ERR wrong number of arguments for 'reserve.new'"},
		{"RESERVE.NEW " + account + "r me team 50.5 1000", "*3|:1|$4|50.5|:6001000"},
		{"RESERVE.COMMIT " + account + "r 2 5",
			"-ERR epoch 2 of reservation \"r\", which is at 1, is gone by"},
		{"RESERVE.COMMIT " + account + "r 1 51", "-ERR a commit of 51 units of the 50.5"},
		{"RESERVE.COMMIT " + account + "r 1 5", "*3|:2|$4|45.5"},
		{"RESERVE.RENEW " + account + "r 2 30000", "*3|:2|$4|45.5|:6030000"},
		{"RESERVE.TAKE " + account + "r you 2000", "*3|:3|$4|45.5|:6002000"},
		{"RESERVE.LIST " + account, "*1|*5|$1|r|:3|$4|45.5|:6002000|$3|you"},
		{"RESERVE.RELEASE " + account + "r 3", "+OK"},
		{"RESERVE.RELEASE " + account + "r 3", "-ERR reservation \"r\" is over"},
		{"RESERVE.RELEASE " + account + "q 3", "-ERR reservation \"q\" is not known"},
		{"AUTH all another_secret", "+OK"},
		{"PLAN.CHANGE " + account + "c team 6001000",
			"-ERR the moment, 1000 ms from now where 5000 are needed, is too soon"},
		{"PLAN.CHANGE " + account + "c team soon", "-ERR 'soon' is no whole number"},
		{"PLAN.CHANGE " + account + "c team 6010000", ":6010000"},
		{"PLAN.LIST " + account, "*1|*3|$1|c|$4|team|:6010000"},
		{"PLAN.TAKEBACK " + account + "d", "-ERR change \"d\" is not known"},
		{"PLAN.TAKEBACK " + account + "c", "+OK"},
		{"PLAN.ERASE " + account, "-ERR unknown command"},
		{"AUTH ops nonsense", "-ERR"}, // a wrong key leaves no rights
		{"PLAN.LIST " + account, "-NOPERM"},
	} {
		answers, newRights, _ := s.run([]redcon.Command{parseWords(step.command)}, rights)
		rights = newRights
		if got := strings.ReplaceAll(string(answers), "\r\n", "|"); !strings.HasPrefix(got, step.want) {
			t.Errorf("%s: %s, not %s", step.command, got, step.want)
		}
	}
}

// parseWords makes a command of words. In AUTH, an underscore stands for a space.
func parseWords(text string) (c redcon.Command) {
	for _, word := range strings.Fields(text) {
		if strings.HasPrefix(text, "AUTH") {
			word = strings.ReplaceAll(word, "_", " ")
		}
		c.Args = append(c.Args, []byte(word))
	}
	return c
}

// TestAccountCommands_MomentsAreBounded guards against a change of plan at another moment than the one named: a moment
// was checked after a conversion that overflows, and one from now was not checked.
func TestAccountCommands_MomentsAreBounded(t *testing.T) {
	for _, text := range []string{
		"8796093022209", "9223372036855", "18446744073709", "9007199254740992",
		"+8796093022209", "+9223372036855", "+9007199254740992",
	} {
		args := &arguments{rest: [][]byte{[]byte(text)}}
		if nanos := args.momentNanos(); args.err == nil {
			t.Errorf("%s: taken as %d", text, nanos)
		} else if !strings.Contains(args.err.Error(), "out of range") {
			t.Errorf("%s: %v", text, args.err)
		}
	}
	for _, text := range []string{"8796093022208", "0", "+0", "+60000"} {
		args := &arguments{rest: [][]byte{[]byte(text)}}
		if args.momentNanos(); args.err != nil {
			t.Errorf("%s: %v", text, args.err)
		}
	}
}
