package limitserver

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
)

// Accounts are where plans are changed and allowance is reserved.
//
//	PLAN.CHANGE gestoria id plan at       from the moment at on, in ms since 1970, or +ms from now; tells it in ms
//	PLAN.TAKEBACK gestoria id
//	PLAN.LIST gestoria                    arrays of id, plan, ms since 1970
//	RESERVE.NEW gestoria id holder plan units lease-ms
//	RESERVE.COMMIT gestoria id epoch units
//	RESERVE.RENEW gestoria id epoch lease-ms
//	RESERVE.TAKE gestoria id holder lease-ms
//	RESERVE.RELEASE gestoria id epoch
//	RESERVE.LIST gestoria                 arrays of id, epoch, units left, ms since 1970 that it holds until, holder
//	RESERVE.ROOM gestoria plan            units that may still be reserved now
//
// NEW, COMMIT, RENEW and TAKE tell the epoch to name next, the units left, and until when it holds.
type Accounts interface {
	Change(gestoria string, c billing.PlanChange) error
	CancelChange(gestoria, id string) error
	Reserve(gestoria, id, holder, plan string, units billing.Units, lease time.Duration) (billing.Reservation, error)
	Commit(gestoria, id string, epoch uint64, units billing.Units) (billing.Reservation, error)
	Renew(gestoria, id string, epoch uint64, lease time.Duration) (billing.Reservation, error)
	AdoptReservation(gestoria, id, holder string, lease time.Duration) (billing.Reservation, error)
	Release(gestoria, id string, epoch uint64) error
	Account(gestoria, plan string) (billing.Account, billing.Units, error)
}

// auth gives the rights of a key.
func (s *Server) auth(args [][]byte) (authz.Right, error) {
	if len(args) != 2 {
		return 0, errArity
	}
	k, ok := s.keys[string(args[0])]
	shown, own := sha256.Sum256(args[1]), sha256.Sum256(k.Secret) // of one length, whatever is shown
	if subtle.ConstantTimeCompare(shown[:], own[:]) != 1 || !ok {
		return 0, errors.New("key or secret is wrong")
	}
	return k.Rights, nil
}

// needs is the right that a command asks for; 0: none.
func needs(word string) authz.Right {
	switch {
	case word == "LIMIT.CHECK" || word == "LIMIT.PEEK" || word == "CL.THROTTLE":
		return authz.Check
	case strings.HasSuffix(word, ".LIST") || word == "RESERVE.ROOM":
		return authz.Read
	case strings.HasPrefix(word, "RESERVE."):
		return authz.Reserve
	case strings.HasPrefix(word, "PLAN."):
		return authz.Change
	}
	return 0
}

// arity is how many words follow each command.
var arity = map[string]int{"PLAN.CHANGE": 4, "PLAN.TAKEBACK": 2, "PLAN.LIST": 1, "RESERVE.NEW": 6, "RESERVE.COMMIT": 4, "RESERVE.RENEW": 4,
	"RESERVE.TAKE": 4, "RESERVE.RELEASE": 3, "RESERVE.LIST": 1, "RESERVE.ROOM": 2}

// account answers a command on accounts; known is false where it is none.
func (s *Server) account(out []byte, word string, args [][]byte) (_ []byte, known bool) {
	n, known := arity[word]
	if !known || s.accounts == nil {
		return out, false
	}
	if len(args) != n {
		return s.fault(out, word, errArity), true
	}
	out, err := s.step(out, word, args)
	if err != nil {
		out = s.fault(out, word, errors.New(printable(err.Error())))
	}
	return out, true
}

func (s *Server) step(out []byte, word string, args [][]byte) ([]byte, error) {
	g := string(args[0])
	if _, err := strconv.ParseUint(g, 16, 64); err != nil || len(g) != 16 || g != strings.ToLower(g) || g >= "0000000200000000" {
		return out, fmt.Errorf("gestoria '%.20s' is no number of 16 small hexadecimal digits below 2^33", g)
	}
	word0, text := "", func(n int) string { return string(args[n]) }
	var err error
	number := func(n int) (x int64) {
		var bad error
		if x, bad = strconv.ParseInt(text(n), 10, 64); (bad != nil || x < 0 || x > 1<<53) && err == nil {
			err = fmt.Errorf("'%.20s' is no whole number", text(n))
		}
		return x
	}
	units := func(n int) (u billing.Units) {
		x, bad := strconv.ParseFloat(text(n), 64)
		if bad != nil && err == nil {
			err = fmt.Errorf("units '%.20s' are no number", text(n))
		} else if err == nil {
			u, err = billing.ParseUnits(x)
		}
		return u
	}
	lease := func(n int) time.Duration { return time.Duration(min(number(n), 1<<40)) * time.Millisecond }
	var h billing.Reservation
	switch word {
	case "PLAN.CHANGE":
		at, after := strings.CutPrefix(text(3), "+")
		args[3] = []byte(at)
		moment := number(3) * 1e6
		if after {
			moment += time.Now().UnixMilli() * 1e6
		} else if err == nil && moment/1e6 > 1<<43 {
			err = fmt.Errorf("moment %s is out of range", at)
		}
		if err == nil {
			err = s.accounts.Change(g, billing.PlanChange{ID: text(1), Plan: text(2), EffectiveNanos: moment})
		}
		if err == nil {
			out = redcon.AppendInt(out, moment/1e6)
		}
		return out, err
	case "PLAN.TAKEBACK":
		err = s.accounts.CancelChange(g, text(1))
	case "RESERVE.RELEASE":
		if epoch := number(2); err == nil {
			err = s.accounts.Release(g, text(1), uint64(epoch))
		}
	case "RESERVE.NEW":
		if u, l := units(4), lease(5); err == nil {
			h, err = s.accounts.Reserve(g, text(1), text(2), text(3), u, l)
		}
	case "RESERVE.COMMIT":
		if epoch, u := number(2), units(3); err == nil {
			h, err = s.accounts.Commit(g, text(1), uint64(epoch), u)
		}
	case "RESERVE.RENEW":
		if epoch, l := number(2), lease(3); err == nil {
			h, err = s.accounts.Renew(g, text(1), uint64(epoch), l)
		}
	case "RESERVE.TAKE":
		if l := lease(3); err == nil {
			h, err = s.accounts.AdoptReservation(g, text(1), text(2), l)
		}
	default:
		if word == "RESERVE.ROOM" {
			word0 = text(1)
		}
		a, room, err := s.accounts.Account(g, word0)
		if err != nil {
			return out, err
		}
		return show(out, word, a, room), nil
	}
	if err != nil {
		return out, err
	}
	if h.ID == "" {
		return redcon.AppendOK(out), nil
	}
	out = redcon.AppendArray(out, 3)
	out = redcon.AppendInt(out, int64(h.Epoch))
	out = redcon.AppendBulkString(out, strconv.FormatFloat(h.Remaining.Float(), 'f', -1, 64))
	return redcon.AppendInt(out, h.ExpiresNanos/1e6), nil
}

// show tells what an account has.
func show(out []byte, word string, a billing.Account, room billing.Units) []byte {
	number := func(u billing.Units) string { return strconv.FormatFloat(u.Float(), 'f', -1, 64) }
	switch word {
	case "RESERVE.ROOM":
		return redcon.AppendBulkString(out, number(max(room, 0)))
	case "PLAN.LIST":
		out = redcon.AppendArray(out, len(a.Changes))
		for _, c := range a.Changes {
			out = redcon.AppendArray(out, 3)
			out = redcon.AppendBulkString(redcon.AppendBulkString(out, c.ID), c.Plan)
			out = redcon.AppendInt(out, c.EffectiveNanos/1e6)
		}
		return out
	}
	out = redcon.AppendArray(out, len(a.Reservations))
	for _, h := range a.Reservations {
		out = redcon.AppendArray(out, 5)
		out = redcon.AppendInt(redcon.AppendBulkString(out, h.ID), int64(h.Epoch))
		out = redcon.AppendInt(redcon.AppendBulkString(out, number(h.Remaining)), h.ExpiresNanos/1e6)
		out = redcon.AppendBulkString(out, h.Holder)
	}
	return out
}
