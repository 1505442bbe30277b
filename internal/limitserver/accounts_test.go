package limitserver

import (
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
)

// book is one gestoría's account, on a clock that stands.
type book struct{ a billing.Account }

const now = 6000e9

var bookTerms = billing.Settings{WindowNanos: 60e9, ChangeNoticeNanos: 5e9, ClockSkewNanos: 1e9, MaxLeaseNanos: 30e9, ExportDelayNanos: 1e9, Plans: map[string]billing.Quota{"team": {Rate: 1, Peak: 10}}}

func (b *book) keep(a billing.Account, err error) error {
	if err == nil {
		b.a = a
	}
	return err
}
func (b *book) hold(a billing.Account, h billing.Reservation, err error) (billing.Reservation, error) {
	return h, b.keep(a, err)
}

func (b *book) Change(_ string, c billing.PlanChange) error {
	return b.keep(b.a.SchedulePlanChange(bookTerms, now, c))
}
func (b *book) CancelChange(_, id string) error { return b.keep(b.a.CancelPlanChange(bookTerms, now, id)) }
func (b *book) Release(_, id string, epoch uint64) error {
	return b.keep(b.a.Release(bookTerms, now, id, epoch))
}
func (b *book) Reserve(_, id, holder, plan string, u billing.Units, l time.Duration) (billing.Reservation, error) {
	return b.hold(b.a.Reserve(bookTerms, now,
		billing.ReservationRequest{ID: id, Holder: holder, Plan: plan, Units: u, LeaseNanos: int64(l)}))
}
func (b *book) Commit(_, id string, epoch uint64, u billing.Units) (billing.Reservation, error) {
	return b.hold(b.a.Commit(bookTerms, now, id, epoch, u))
}
func (b *book) Renew(_, id string, epoch uint64, l time.Duration) (billing.Reservation, error) {
	return b.hold(b.a.Renew(bookTerms, now, id, epoch, int64(l)))
}
func (b *book) AdoptReservation(_, id, holder string, l time.Duration) (billing.Reservation, error) {
	return b.hold(b.a.AdoptReservation(bookTerms, now, id, holder, int64(l)))
}
func (b *book) Account(_, plan string) (billing.Account, billing.Units, error) {
	return b.a, b.a.Available(bookTerms, now, now, plan), nil
}

// One session of each command: what is right is answered in its form, what is wrong by an error that names it.
func TestAccountCommands(t *testing.T) {
	s := New(Options{MaxConnections: 1, Accounts: &book{}, Keys: map[string]authz.Key{
		"ops": {Secret: []byte("open sesame, please"), Rights: authz.Read | authz.Reserve},
		"all": {Secret: []byte("another secret"), Rights: 255},
	}})
	var may authz.Right
	const g = "0000000000000005 "
	for _, x := range []struct{ words, want string }{
		{"RESERVE.ROOM " + g + "team", "-NOPERM"}, {"LIMIT.PEEK " + g + "team", "-NOPERM"}, {"AUTH ops nonsense", "-ERR key or secret is wrong"}, {"AUTH nobody x", "-ERR key or secret is wrong"},
		{"AUTH ops", "-ERR wrong number of arguments for 'auth'"}, {"AUTH ops open_sesame,_please", "+OK"}, {"PLAN.CHANGE " + g + "c team 6010000", "-NOPERM"},
		{"RESERVE.ROOM " + g + "team", "$2|70"}, {"RESERVE.ROOM 5 team", "-ERR gestoria '5'"}, {"RESERVE.ROOM 000000000000000A team", "-ERR gestoria"}, {"RESERVE.ROOM ffffffffffffffff team", "-ERR gestoria"},
		{"RESERVE.NEW " + g + "r me gold 5 1000", "-ERR plan \"gold\" is not known"}, {"RESERVE.NEW " + g + "r me team -5 1000", "-ERR units -5 are not above 0"},
		{"RESERVE.NEW " + g + "r me team NaN 1000", "-ERR units"}, {"RESERVE.NEW " + g + "r me team 1e99 1000", "-ERR units"}, {"RESERVE.NEW " + g + "r me team x 1000", "-ERR units 'x' are no number"},
		{"RESERVE.NEW " + g + "r me team 5 0", "-ERR lease"}, {"RESERVE.NEW " + g + "r me team 5 99999999999", "-ERR lease"}, {"RESERVE.NEW " + g + "r me team 5 -1", "-ERR '-1' is no whole number"},
		{"RESERVE.NEW " + g + "r me team 71 1000", "-ERR the window, for 71 units of 70, has no room"}, {"RESERVE.NEW " + g + "r me team 5", "-ERR wrong number of arguments for 'reserve.new'"},
		{"RESERVE.NEW " + g + "r me team 50.5 1000", "*3|:1|$4|50.5|:6001000"}, {"RESERVE.COMMIT " + g + "r 2 5", "-ERR epoch 2 of reservation \"r\", which is at 1, is gone by"},
		{"RESERVE.COMMIT " + g + "r 1 51", "-ERR a commit of 51 units of the 50.5"}, {"RESERVE.COMMIT " + g + "r 1 5", "*3|:2|$4|45.5"}, {"RESERVE.RENEW " + g + "r 2 30000", "*3|:2|$4|45.5|:6030000"},
		{"RESERVE.TAKE " + g + "r you 2000", "*3|:3|$4|45.5|:6002000"}, {"RESERVE.LIST " + g, "*1|*5|$1|r|:3|$4|45.5|:6002000|$3|you"}, {"RESERVE.RELEASE " + g + "r 3", "+OK"},
		{"RESERVE.RELEASE " + g + "r 3", "-ERR reservation \"r\" is over"}, {"RESERVE.RELEASE " + g + "q 3", "-ERR reservation \"q\" is not known"},
		{"AUTH all another_secret", "+OK"}, {"PLAN.CHANGE " + g + "c team 6001000", "-ERR the moment, 1000 ms from now where 5000 are needed, is too soon"}, {"PLAN.CHANGE " + g + "c team soon", "-ERR 'soon' is no whole number"},
		{"PLAN.CHANGE " + g + "c team 6010000", ":6010000"}, {"PLAN.LIST " + g, "*1|*3|$1|c|$4|team|:6010000"}, {"PLAN.TAKEBACK " + g + "d", "-ERR change \"d\" is not known"}, {"PLAN.TAKEBACK " + g + "c", "+OK"},
		{"PLAN.ERASE " + g, "-ERR unknown command"}, {"AUTH ops nonsense", "-ERR"}, {"PLAN.LIST " + g, "-NOPERM"}, // a wrong key leaves none
	} {
		var c redcon.Command
		for _, w := range strings.Fields(x.words) {
			if strings.HasPrefix(x.words, "AUTH") {
				w = strings.ReplaceAll(w, "_", " ")
			}
			c.Args = append(c.Args, []byte(w))
		}
		out, _ := s.run([]redcon.Command{c}, &may)
		if got := strings.ReplaceAll(string(out), "\r\n", "|"); !strings.HasPrefix(got, x.want) {
			t.Errorf("%s: %s, not %s", x.words, got, x.want)
		}
	}
}
