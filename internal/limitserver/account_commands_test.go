package limitserver

import (
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
)

// fakeAccounts holds one account, whatever the tenant, at the fixed time nowNanos.
type fakeAccounts struct{ account billing.Account }

const nowNanos = 6000e9

var billingSettings = billing.Settings{
	WindowNanos:           60e9,
	PlanChangeNoticeNanos: 5e9,
	ClockSkewNanos:        1e9,
	MaxLeaseNanos:         30e9,
	ExportDelayNanos:      1e9,
	Plans:                 map[string]billing.Quota{"team": {Rate: 1, Burst: 10}},
}

// update stores the account that an operation returned, unless the operation failed.
func (f *fakeAccounts) update(account billing.Account, err error) error {
	if err == nil {
		f.account = account
	}
	return err
}

// updateReservation does the same as update for an operation that also returns a reservation.
func (f *fakeAccounts) updateReservation(
	account billing.Account, reservation billing.Reservation, err error,
) (billing.Reservation, error) {
	return reservation, f.update(account, err)
}

func (f *fakeAccounts) SchedulePlanChange(_ string, change billing.PlanChange) error {
	return f.update(f.account.SchedulePlanChange(billingSettings, nowNanos, change))
}

func (f *fakeAccounts) CancelPlanChange(_, id string) error {
	return f.update(f.account.CancelPlanChange(billingSettings, nowNanos, id))
}

func (f *fakeAccounts) Release(_, id string, epoch uint64) error {
	return f.update(f.account.Release(billingSettings, nowNanos, id, epoch))
}

func (f *fakeAccounts) Reserve(_ string, request billing.ReservationRequest) (billing.Reservation, error) {
	return f.updateReservation(f.account.Reserve(billingSettings, nowNanos, request))
}

func (f *fakeAccounts) Commit(_, id string, epoch uint64, units billing.MicroUnits) (billing.Reservation, error) {
	return f.updateReservation(f.account.Commit(billingSettings, nowNanos, id, epoch, units))
}

func (f *fakeAccounts) Renew(_, id string, epoch uint64, lease time.Duration) (billing.Reservation, error) {
	return f.updateReservation(f.account.Renew(billingSettings, nowNanos, id, epoch, int64(lease)))
}

func (f *fakeAccounts) TransferReservation(_, id, holder string, lease time.Duration) (billing.Reservation, error) {
	return f.updateReservation(f.account.TransferReservation(billingSettings, nowNanos, id, holder, int64(lease)))
}

func (f *fakeAccounts) Account(_, plan string) (billing.Account, billing.MicroUnits, error) {
	return f.account, f.account.Available(billingSettings, nowNanos, nowNanos, plan), nil
}

// TestServer_AnswersAccountCommands checks the answers to valid and invalid forms of each command on accounts, which
// one connection sends with different rights. The error for an invalid command names its fault.
func TestServer_AnswersAccountCommands(t *testing.T) {
	s := New(Options{MaxConnections: 1, Accounts: &fakeAccounts{}, Keys: map[string]authz.Key{
		"ops": {Secret: []byte("secret of ops"), Rights: authz.Read | authz.Reserve},
		"all": {Secret: []byte("secret of all"), Rights: 255},
	}})
	var rights authz.Right
	const account = "0000000000000005 "
	for _, step := range []struct{ command, want string }{
		{"RESERVE.ROOM " + account + "team", "-NOPERM"},
		{"LIMIT.PEEK " + account + "team", "-NOPERM"},
		{"AUTH ops nonsense", "-ERR key or secret is wrong"},
		{"AUTH nobody x", "-ERR key or secret is wrong"},
		{"AUTH ops", "-ERR wrong number of arguments for 'auth'"},
		{"AUTH ops secret_of_ops", "+OK"},
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
		{"AUTH all secret_of_all", "+OK"},
		{"PLAN.CHANGE " + account + "c team 6001000",
			"-ERR the moment, 1000 ms from now where 5000 are needed, is too soon"},
		{"PLAN.CHANGE " + account + "c team soon", "-ERR 'soon' is no whole number"},
		{"PLAN.CHANGE " + account + "c team 6010000", ":6010000"},
		{"PLAN.LIST " + account, "*1|*3|$1|c|$4|team|:6010000"},
		{"PLAN.TAKEBACK " + account + "d", "-ERR change \"d\" is not known"},
		{"PLAN.TAKEBACK " + account + "c", "+OK"},
		{"PLAN.ERASE " + account, "-ERR unknown command"},
		{"AUTH ops nonsense", "-ERR"}, // a failed AUTH revokes all rights
		{"PLAN.LIST " + account, "-NOPERM"},
	} {
		answers, newRights, _ := s.run([]redcon.Command{parseCommand(step.command)}, rights)
		rights = newRights
		if got := strings.ReplaceAll(string(answers), "\r\n", "|"); !strings.HasPrefix(got, step.want) {
			t.Errorf("%s: answer %s, want prefix %s", step.command, got, step.want)
		}
	}
}

// parseCommand returns a command whose arguments are the words of text. In AUTH, an underscore stands for a space.
func parseCommand(text string) (command redcon.Command) {
	for _, word := range strings.Fields(text) {
		if strings.HasPrefix(text, "AUTH") {
			word = strings.ReplaceAll(word, "_", " ")
		}
		command.Args = append(command.Args, []byte(word))
	}
	return command
}

// TestArguments_RejectTimestampOutOfRange guards against a plan change that takes effect at another time than the one
// in the command: the range of the time was checked only after a conversion that overflows, and not checked at all for
// a time relative to now.
func TestArguments_RejectTimestampOutOfRange(t *testing.T) {
	for _, text := range []string{
		"8796093022209", "9223372036855", "18446744073709", "9007199254740992",
		"+8796093022209", "+9223372036855", "+9007199254740992",
	} {
		args := &arguments{remaining: [][]byte{[]byte(text)}}
		if nanos := args.timestampNanos(); args.err == nil {
			t.Errorf("%s: accepted as %d ns", text, nanos)
		} else if !strings.Contains(args.err.Error(), "out of range") {
			t.Errorf("%s: %v", text, args.err)
		}
	}
	for _, text := range []string{"8796093022208", "0", "+0", "+60000"} {
		args := &arguments{remaining: [][]byte{[]byte(text)}}
		if args.timestampNanos(); args.err != nil {
			t.Errorf("%s: %v", text, args.err)
		}
	}
}
