// Package billing is what plan changes, reservations and exported use come to, as a pure module: an account and a
// moment go in, a new account or an error come out. It reads no clock and does no I/O. Whoever calls it keeps accounts
// so that each step follows from the last (package billd does, in the replicated store). docs/billing.md is the
// operators' page.
package billing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Units are millionths of a unit: whole numbers, so that sums come out the same in any order.
type Units int64

// Of gives units of a number as heads and commands have it.
func ParseUnits(x float64) (Units, error) {
	if !(x > 0 && x <= mostUnits) {
		return 0, fmt.Errorf("units %g are not above 0 and at most %g", x, float64(mostUnits))
	}
	return Units(math.Round(x * 1e6)), nil
}

// mostUnits is the largest number of units at once: sums of a million of them fit.
const mostUnits = 1e6

// Float is the number.
func (u Units) Float() float64 { return float64(u) / 1e6 }

// Quota is what a plan allows: units a second, and how many at once.
type Quota struct{ Rate, Peak float64 }

// Settings are the same at all doors.
type Settings struct {
	WindowNanos       int64            // ns: use is billed by windows of this length, since 1970
	ChangeNoticeNanos int64            // ns that a plan change is made known ahead: all doors have heard by its moment
	ClockSkewNanos    int64            // ns that two doors' clocks may differ
	MaxLeaseNanos     int64            // ns that a reservation may hold at most without being renewed
	ExportDelayNanos  int64            // ns after a window's end until its use is exported; what comes later makes a further record
	Plans             map[string]Quota // by name
}

// Account is a gestoría's. It is not changed: each step gives a new one.
type Account struct {
	Tenant       string                 `json:"gestoria"`
	Changes      []PlanChange           `json:"changes,omitempty"` // in order of their moments
	Windows      []Window               `json:"windows,omitempty"` // not exported yet, or open, in order
	Reservations map[string]Reservation `json:"holds,omitempty"`   // reservations, by id
	Ended        map[string]int64       `json:"ended,omitempty"`   // ids of reservations that ended, until when they are remembered, unix ns
	Epoch        uint64                 `json:"epoch,omitempty"`   // of the last hold: no two have one in common
}

// Change is a plan from a moment on.
type PlanChange struct {
	ID             string `json:"id"`
	EffectiveNanos int64  `json:"at"` // unix ns
	Plan           string `json:"plan"`
}

// Window is the use of one window.
type Window struct {
	StartNanos int64            `json:"start"` // unix ns
	Used       map[string]Units `json:"used"`  // by plan, not exported yet
	Exported   Units            `json:"sent"`  // of all plans, exported
}

// Reservation is a reservation.
type Reservation struct {
	ID           string `json:"id"`
	Plan         string `json:"plan"`
	WindowNanos  int64  `json:"window"` // whose allowance it takes, unix ns
	Remaining    Units  `json:"left"`
	ExpiresNanos int64  `json:"until"` // unix ns
	Epoch        uint64 `json:"epoch"`
	Holder       string `json:"holder"`
}

// Record is use to be billed. Records of one gestoría, plan and window add up.
type Record struct {
	Sequence      uint64 `json:"sequence"`
	Tenant        string `json:"gestoria"`
	Plan          string `json:"plan"`
	WindowSeconds int64  `json:"window_unix_s"`
	Units         Units  `json:"micro_units"`
}

// Errors of what is asked; each is told with the name that was wrong.
var (
	ErrUnknown    = errors.New("is not known")
	ErrConflict   = errors.New("is taken")
	ErrTooSoon    = errors.New("is too soon")
	ErrExpired    = errors.New("is over")
	ErrStaleEpoch = errors.New("is gone by")
	ErrNoCapacity = errors.New("has no room")
	ErrOutOfRange = errors.New("is out of range")
)

func fault(err error, form string, args ...any) error {
	return fmt.Errorf("%s %w", fmt.Sprintf(form, args...), err)
}

// mostHolds and mostChanges bound an account: it is one value of the store.
const (
	mostHolds   = 200
	mostChanges = 100
	mostID      = 64
)

func (a Account) clone() Account {
	a.Changes, a.Windows = slices.Clone(a.Changes), slices.Clone(a.Windows)
	for n := range a.Windows {
		a.Windows[n].Used = maps.Clone(a.Windows[n].Used)
	}
	a.Reservations, a.Ended = maps.Clone(a.Reservations), maps.Clone(a.Ended)
	if a.Reservations == nil {
		a.Reservations = map[string]Reservation{}
	}
	if a.Ended == nil {
		a.Ended = map[string]int64{}
	}
	return a
}

// Plan is the plan in force at a moment; empty where no change has set one: the one that is asked for holds.
func (a Account) PlanAt(at int64) string {
	plan := ""
	for _, c := range a.Changes {
		if c.EffectiveNanos <= at {
			plan = c.Plan
		}
	}
	return plan
}

func checkID(id string) error {
	if id == "" || len(id) > mostID {
		return fault(ErrOutOfRange, "id %.80q, of 1 to %d bytes,", id, mostID)
	}
	return nil
}

// Change sets the gestoría's plan from a moment on. The same change again is no error: it was made.
func (a Account) SchedulePlanChange(t Settings, now int64, c PlanChange) (Account, error) {
	if err := checkID(c.ID); err != nil {
		return a, err
	}
	if _, ok := t.Plans[c.Plan]; !ok {
		return a, fault(ErrUnknown, "plan %.80q", c.Plan)
	}
	for _, old := range a.Changes {
		switch {
		case old == c:
			return a, nil
		case old.ID == c.ID:
			return a, fault(ErrConflict, "id %q", c.ID)
		case old.EffectiveNanos == c.EffectiveNanos:
			return a, fault(ErrConflict, "the moment, by change %q to %s,", old.ID, old.Plan)
		}
	}
	if c.EffectiveNanos < now+t.ChangeNoticeNanos {
		return a, fault(ErrTooSoon, "the moment, %d ms from now where %d are needed,", (c.EffectiveNanos-now)/1e6, t.ChangeNoticeNanos/1e6)
	}
	if c.EffectiveNanos > now+366*24*3600e9 {
		return a, fault(ErrOutOfRange, "the moment, more than a year ahead,")
	}
	if len(a.Changes) >= mostChanges {
		return a, fault(ErrNoCapacity, "the list of changes, of %d,", mostChanges)
	}
	a = a.clone()
	a.Changes = append(a.Changes, c)
	slices.SortFunc(a.Changes, func(x, y PlanChange) int { return cmp.Compare(x.EffectiveNanos, y.EffectiveNanos) })
	return a, nil
}

// TakeBack takes a change back that no door goes by yet.
func (a Account) CancelChange(t Settings, now int64, id string) (Account, error) {
	for n, c := range a.Changes {
		if c.ID != id {
			continue
		}
		if c.EffectiveNanos < now+t.ChangeNoticeNanos {
			return a, fault(ErrExpired, "the time to take change %q back", id)
		}
		a = a.clone()
		a.Changes = slices.Delete(a.Changes, n, n+1)
		return a, nil
	}
	return a, fault(ErrUnknown, "change %.80q", id)
}

// start is that of the window of a moment.
func (t Settings) start(at int64) int64 { return at - ((at%t.WindowNanos)+t.WindowNanos)%t.WindowNanos }

func (a *Account) window(start int64) *Window {
	n, ok := slices.BinarySearchFunc(a.Windows, start, func(w Window, s int64) int { return cmp.Compare(w.StartNanos, s) })
	if !ok {
		a.Windows = slices.Insert(a.Windows, n, Window{StartNanos: start, Used: map[string]Units{}})
	}
	return &a.Windows[n]
}

// Use adds units that were used under a plan, the one their transactions were taken under.
func (a Account) RecordUsage(t Settings, start int64, plan string, units Units) (Account, error) {
	if units <= 0 || units > mostUnits*1e6*1000 {
		return a, fault(ErrOutOfRange, "use of %d", units)
	}
	if start != t.start(start) {
		return a, fault(ErrOutOfRange, "window %d", start)
	}
	a = a.clone()
	a.window(start).Used[plan] += units
	return a, nil
}

// Allowance is what a window allows: each plan's rate for the time it holds in it, and what the plan now in force
// allows at once.
func (a Account) Allowance(t Settings, start, now int64, asked string) Units {
	sum, from, plan := 0.0, start, a.PlanAt(start)
	end := start + t.WindowNanos
	for _, c := range a.Changes {
		if c.EffectiveNanos > start && c.EffectiveNanos < end {
			sum += t.Plans[cmp.Or(plan, asked)].Rate * float64(c.EffectiveNanos-from) / 1e9
			from, plan = c.EffectiveNanos, c.Plan
		}
	}
	sum += t.Plans[cmp.Or(plan, asked)].Rate * float64(end-from) / 1e9
	sum += t.Plans[cmp.Or(a.PlanAt(now), asked)].Peak
	return Units(math.Round(sum * 1e6))
}

// Room is what may still be reserved of a window: below 0 where a change left less than is used or held already.
func (a Account) Available(t Settings, start, now int64, asked string) Units {
	room := a.Allowance(t, start, now, asked)
	for _, w := range a.Windows {
		if w.StartNanos == start {
			room -= w.Exported
			for _, u := range w.Used {
				room -= u
			}
		}
	}
	for _, h := range a.Reservations {
		if h.WindowNanos == start {
			room -= h.Remaining
		}
	}
	return room
}

func (t Settings) lease(now, lease int64) (int64, error) {
	if lease <= 0 || lease > t.MaxLeaseNanos {
		return 0, fault(ErrOutOfRange, "lease of %d ms, of 1 to %d,", lease/1e6, t.MaxLeaseNanos/1e6)
	}
	return now + lease, nil
}

// Reserve holds units of the window that now lies in. The same id again is no error while it is held by the same
// holder: it was made, and what is told is what it holds.
func (a Account) Reserve(t Settings, now int64, id, holder, plan string, units Units, lease int64) (Account, Reservation, error) {
	plan = cmp.Or(a.PlanAt(now), plan)
	if err := checkID(id); err != nil {
		return a, Reservation{}, err
	}
	if _, ok := t.Plans[plan]; !ok {
		return a, Reservation{}, fault(ErrUnknown, "plan %.80q", plan)
	}
	until, err := t.lease(now, lease)
	if err != nil {
		return a, Reservation{}, err
	}
	if units <= 0 || units > mostUnits*1e6 {
		return a, Reservation{}, fault(ErrOutOfRange, "a reservation of %g units", units.Float())
	}
	a = a.ExpireReservations(t, now)
	if h, ok := a.Reservations[id]; ok {
		if h.Holder == holder {
			return a, h, nil
		}
		return a, Reservation{}, fault(ErrConflict, "reservation %q", id)
	}
	if _, ok := a.Ended[id]; ok {
		return a, Reservation{}, fault(ErrExpired, "reservation %q", id)
	}
	start := t.start(now)
	if room := a.Available(t, start, now, plan); units > room {
		return a, Reservation{}, fault(ErrNoCapacity, "the window, for %g units of %g,", units.Float(), max(room, 0).Float())
	}
	if len(a.Reservations) >= mostHolds {
		return a, Reservation{}, fault(ErrNoCapacity, "the list of reservations, of %d,", mostHolds)
	}
	a = a.clone()
	a.Epoch++
	h := Reservation{ID: id, Plan: plan, WindowNanos: start, Remaining: units, ExpiresNanos: until, Epoch: a.Epoch, Holder: holder}
	a.Reservations[id] = h
	return a, h, nil
}

// held gives a reservation that its holder may still use.
func (a Account) held(now int64, id string, epoch uint64) (Reservation, error) {
	h, ok := a.Reservations[id]
	switch {
	case !ok && a.Ended[id] != 0:
		return h, fault(ErrExpired, "reservation %q", id)
	case !ok:
		return h, fault(ErrUnknown, "reservation %.80q", id)
	case h.Epoch != epoch:
		return h, fault(ErrStaleEpoch, "epoch %d of reservation %q, which is at %d,", epoch, id, h.Epoch)
	case now >= h.ExpiresNanos:
		return h, fault(ErrExpired, "the lease of reservation %q", id)
	}
	return h, nil
}

// Commit turns reserved units into use. Each raises the epoch, which the answer tells and the next one must name: one
// that is sent twice is done once, and the second is told that its epoch is gone by.
func (a Account) Commit(t Settings, now int64, id string, epoch uint64, units Units) (Account, Reservation, error) {
	h, err := a.held(now, id, epoch)
	if err != nil {
		return a, h, err
	}
	if units <= 0 || units > h.Remaining {
		return a, h, fault(ErrOutOfRange, "a commit of %g units of the %g that reservation %q holds", units.Float(), h.Remaining.Float(), id)
	}
	a = a.clone()
	a.window(h.WindowNanos).Used[h.Plan] += units
	a.Epoch++
	h.Remaining, h.Epoch = h.Remaining-units, a.Epoch
	if a.Reservations[id] = h; h.Remaining == 0 {
		a.end(t, now, id)
	}
	return a, h, nil
}

// Renew holds it for longer.
func (a Account) Renew(t Settings, now int64, id string, epoch uint64, lease int64) (Account, Reservation, error) {
	h, err := a.held(now, id, epoch)
	if err != nil {
		return a, h, err
	}
	if h.ExpiresNanos, err = t.lease(now, lease); err != nil {
		return a, h, err
	}
	a = a.clone()
	a.Reservations[id] = h
	return a, h, nil
}

// Take makes it another holder's: what the old one sends from then on is of an epoch gone by.
func (a Account) AdoptReservation(t Settings, now int64, id, holder string, lease int64) (Account, Reservation, error) {
	h, err := a.held(now, id, a.Reservations[id].Epoch)
	if err != nil {
		return a, h, err
	}
	if h.ExpiresNanos, err = t.lease(now, lease); err != nil {
		return a, h, err
	}
	a = a.clone()
	a.Epoch++
	h.Epoch, h.Holder = a.Epoch, holder
	a.Reservations[id] = h
	return a, h, nil
}

// Release gives what is left back.
func (a Account) Release(t Settings, now int64, id string, epoch uint64) (Account, error) {
	if _, err := a.held(now, id, epoch); err != nil {
		return a, err
	}
	a = a.clone()
	a.end(t, now, id)
	return a, nil
}

// end ends a reservation; its id is remembered for as long as somebody may send for it.
func (a *Account) end(t Settings, now int64, id string) {
	delete(a.Reservations, id)
	a.Ended[id] = now + 2*t.MaxLeaseNanos
}

// Lapse returns what is left of reservations whose holders have let them go: once a lease is over on every door's clock.
func (a Account) ExpireReservations(t Settings, now int64) Account {
	var over, old []string
	for id, h := range a.Reservations {
		if now >= h.ExpiresNanos+t.ClockSkewNanos {
			over = append(over, id)
		}
	}
	for id, until := range a.Ended {
		if now >= until {
			old = append(old, id)
		}
	}
	if len(over)+len(old) == 0 {
		return a
	}
	a = a.clone()
	for _, id := range old {
		delete(a.Ended, id)
	}
	for _, id := range over {
		a.end(t, now, id)
	}
	return a
}

// Close gives the records of windows whose time is over, numbered from a sequence on, and the account without them. A
// window that a reservation may still add to waits for nothing: what it adds makes a further record.
func (a Account) CloseWindows(t Settings, now int64, next uint64) (Account, []Record) {
	var records []Record
	b := a.clone()
	b.Windows = nil
	for _, w := range a.clone().Windows {
		if now < w.StartNanos+t.WindowNanos+t.ExportDelayNanos {
			b.Windows = append(b.Windows, w)
			continue
		}
		for _, plan := range slices.Sorted(maps.Keys(w.Used)) {
			records = append(records, Record{next, a.Tenant, plan, w.StartNanos / 1e9, w.Used[plan]})
			next++
			w.Exported += w.Used[plan]
		}
		w.Used = map[string]Units{}
		if now < w.StartNanos+t.WindowNanos+t.ExportDelayNanos+t.MaxLeaseNanos+t.ClockSkewNanos { // a reservation of it may be open, and its room is reckoned with it
			b.Windows = append(b.Windows, w)
		}
	}
	if len(records) == 0 && len(b.Windows) == len(a.Windows) {
		return a, nil
	}
	// Of changes long over the last one says what holds.
	for len(b.Changes) > 1 && b.Changes[1].EffectiveNanos < now-t.WindowNanos-t.ExportDelayNanos-t.MaxLeaseNanos {
		b.Changes = b.Changes[1:]
	}
	return b, records
}

// Drop drops what was used in windows that began before a moment, and tells how many those were.
func (a Account) DropWindows(before int64) (Account, int) {
	n := len(a.Windows)
	a = a.clone()
	a.Windows = slices.DeleteFunc(a.Windows, func(w Window) bool { return w.StartNanos < before })
	return a, n - len(a.Windows)
}

// Empty says that nothing is to be kept.
func (a Account) IsEmpty() bool {
	return len(a.Changes)+len(a.Windows)+len(a.Reservations)+len(a.Ended) == 0
}
