// Package billd keeps gestorías' accounts in the replicated store: plan changes, reservations, use that front doors
// report, and its export, once. It owns the keys, the loops and the receivers; what a step does to an account is
// package billing's to say. Each step is written with the account as it was read, so that of two at once one follows the
// other, at whatever door they are asked.
package billingservice

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// Replica is the part of a replica of the store that accounts are kept by.
type Replica interface {
	ReadLocal(key string) (kv.Entry, bool)               // as this replica has it
	ReadFromLeader(key string) (kv.Entry, bool, error)   // as the leader has it, with all that landed
	ReadPrefix(prefix string) map[string]json.RawMessage // as this replica has them, by what follows the prefix
	Edit(edits []kv.Edit) error                          // together or not at all; kv.Conflict where a key is not as asked
}

// KeyPrefix of the store.
const (
	KeyPrefix     = "billing/"
	accountPrefix = KeyPrefix + "account/"
	reportPrefix  = KeyPrefix + "use/"
	recordPrefix  = KeyPrefix + "record/"
	exportKey     = KeyPrefix + "export"
	leaseKey      = KeyPrefix + "clerk"
)

// Options are what the accounts are kept with.
type Options struct {
	Replica        Replica
	Instance       string                  // this door's name, one of its own in the installation
	Settings       func() billing.Settings // as the settings have them now
	ReportInterval time.Duration           // between two reports of this door's use
	RetryDelay     time.Duration           // after an export that failed, doubled up to thirty times that; 0: a second
	LeaseDuration  time.Duration           // for which a clerk is one without renewing it; 0: three seconds
	Sink           Sink                    // nil: this door exports nothing
	Now            func() time.Time        // nil: the clock
}

// Service keeps the accounts at one door.
type Service struct {
	options     Options
	incarnation int64 // this process among the door's, unix ns
	mu          sync.Mutex
	usage       map[usageKey]billing.Units // not reported yet
	// Of the loop that reports, and of Close after it has ended:
	pending []usageItem // the report that is to land, as it was fixed
	number  uint64      // its number
	plans   atomic.Pointer[map[string]billing.Account]
	stop    chan struct{}
	loops   sync.WaitGroup
	clerks  sync.Mutex
	until   int64 // this desk is the clerk, unix ns
	once    sync.Once
	counts  Stats
	halted  atomic.Pointer[string] // why nothing is exported
}

// Stats are figures.
type Stats struct{ Operations, Rejected, Reports, Exported, Failures atomic.Uint64 }

// use is what reports are summed by.
type usageKey struct {
	tenant, plan     string
	windowStartNanos int64
}

// item is a line of a report.
type usageItem struct {
	Tenant           string        `json:"g"`
	Plan             string        `json:"p"`
	WindowStartNanos int64         `json:"w"`
	Units            billing.Units `json:"u"`
}

const (
	// within bounds a step: an election takes a second or so.
	within = 5 * time.Second
	// mostItems bounds a report, whose accounts are written at once: a command of the store takes a thousand edits.
	mostItems = 400
	mostEdits = 900
	// mostTries bounds a round of what is over: the next one goes on.
	mostTries = 100
	// mostBatch bounds what is sent at once.
	mostBatch = 200
	// CompactionInterval is how often leases and windows that are over are looked for.
	CompactionInterval = time.Second
	// clerk is how often reports are folded into accounts.
	clerk = 250 * time.Millisecond
)

// Start starts a desk.
func Start(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = 3 * time.Second
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = time.Second
	}
	d := &Service{options: o, incarnation: o.Now().UnixNano(), usage: map[usageKey]billing.Units{}, stop: make(chan struct{})}
	d.plans.Store(&map[string]billing.Account{})
	var keys []string
	for g := range o.Replica.ReadPrefix(accountPrefix) {
		keys = append(keys, accountPrefix+g)
	}
	d.KeysChanged(keys)
	d.loop(o.ReportInterval, d.report)
	d.loop(clerk, d.commitReports)
	d.loop(CompactionInterval, d.compact)
	if o.Sink != nil {
		d.loops.Add(1)
		go d.runExport()
	}
	return d
}

func (d *Service) loop(every time.Duration, do func() error) {
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		failing := false
		for {
			select {
			case <-d.stop:
				return
			case <-time.After(every):
			}
			err := do()
			if (err != nil) != failing { // once an outage
				if failing = err != nil; failing {
					logging.For("billing").WithError(err).Warn("the store takes nothing; tried again")
				} else {
					logging.For("billing").Info("the store takes again")
				}
			}
			if err != nil {
				d.counts.Failures.Add(1)
			}
		}
	}()
}

// Close reports what was used, and ends the loops.
func (d *Service) Close() {
	if d == nil {
		return
	}
	d.once.Do(func() {
		close(d.stop)
		d.loops.Wait()
		d.resign()
		for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
			err := d.report()
			if err == nil {
				return
			}
			if time.Now().After(end) {
				logging.For("billing").WithError(err).Error("use of this door is lost")
				return
			}
		}
	})
}

// Stats gives the counts since Start, which go on changing.
func (d *Service) Stats() *Stats { return &d.counts }

// PendingRecords is how many records are not exported yet.
func (d *Service) PendingRecords() int {
	return len(d.options.Replica.ReadPrefix(recordPrefix))
}

// Halted is why nothing is exported; empty: nothing is wrong.
func (d *Service) HaltReason() string {
	if x := d.halted.Load(); x != nil {
		return *x
	}
	return ""
}

// TenantPlan is the plan that a gestoría's transactions are taken under now, where a change has set one. It is asked for each
// transaction: a look into a map.
func (d *Service) TenantPlan(gestoria string) (string, bool) {
	a, ok := (*d.plans.Load())[gestoria]
	if !ok {
		return "", false
	}
	plan := a.PlanAt(d.options.Now().UnixNano())
	return plan, plan != ""
}

// RecordUsage notes units of a transaction that was taken at a moment under a plan, and has been fulfilled.
func (d *Service) RecordUsage(gestoria, plan string, taken time.Time, units float64) {
	n, err := billing.ParseUnits(units)
	if err != nil {
		return
	}
	w := d.options.Settings().WindowNanos
	at := taken.UnixNano()
	k := usageKey{gestoria, plan, at - at%w}
	d.mu.Lock()
	d.usage[k] += n
	d.mu.Unlock()
}

// Changed is to be called with keys that have changed in the store: changes of plans are taken over. Its cost is that of
// the accounts named, not of all: each report that is folded changes some.
func (d *Service) KeysChanged(keys []string) {
	plans, copied := *d.plans.Load(), false
	for _, key := range keys {
		g, ok := strings.CutPrefix(key, accountPrefix)
		if !ok {
			continue
		}
		var a billing.Account
		if e, ok := d.options.Replica.ReadLocal(key); ok && json.Unmarshal(e.Value, &a) != nil {
			continue
		}
		if slices.Equal(a.Changes, plans[g].Changes) {
			continue
		}
		if !copied {
			plans, copied = maps.Clone(plans), true
		}
		if delete(plans, g); len(a.Changes) > 0 {
			plans[g] = billing.Account{Changes: a.Changes}
		}
	}
	d.plans.Store(&plans)
}

// report writes what was used since the last report under a key of its own.
//
// What a report says is fixed before it is first written, and stays so until it is known to have landed. Otherwise a
// write that landed though it gave an error, followed by a newer report of the same number, would let the newer one
// pass for landed: units were lost so in 8 of 13 runs of the test with a store that fails.
func (d *Service) report() error {
	for {
		if d.pending == nil {
			d.mu.Lock()
			for k, u := range d.usage {
				d.pending = append(d.pending, usageItem{k.tenant, k.plan, k.windowStartNanos, u})
				delete(d.usage, k)
				if len(d.pending) == mostItems {
					break
				}
			}
			d.mu.Unlock()
		}
		if d.pending == nil {
			return nil
		}
		text, err := json.Marshal(d.pending)
		if err != nil {
			return err
		}
		if err := d.land(fmt.Sprintf("%s%s-%08x", reportPrefix, d.incarnationName(), d.number), text); err != nil {
			return err
		}
		d.pending = nil
		if d.number++; d.number == 1 {
			if err := d.forget(); err != nil {
				logging.For("billing").WithError(err).Debug("marks of long ago")
			}
		}
		d.counts.Reports.Add(1)
	}
}

// marks is the prefix of the keys that tell which report of a door's life landed last.
const markPrefix = KeyPrefix + "door/"

// own is the part of keys that is this process's own: during an upgrade two of one name run.
func (d *Service) incarnationName() string {
	return fmt.Sprintf("%s-%016x", d.options.Instance, d.incarnation)
}

// forget deletes the marks of this door's lives of long ago, which report nothing any more.
func (d *Service) forget() error {
	var edits []kv.Edit
	for name := range d.options.Replica.ReadPrefix(markPrefix) {
		life, ok := strings.CutPrefix(name, d.options.Instance+"-")
		if began, err := strconv.ParseInt(life, 16, 64); ok && err == nil && began < d.incarnation-int64(24*time.Hour) && len(edits) < mostItems {
			edits = append(edits, kv.Edit{Key: markPrefix + name})
		}
	}
	if len(edits) == 0 {
		return nil
	}
	return d.options.Replica.Edit(edits)
}

// land writes a report until it is known to have landed. It may have landed though its writing gave an error, and
// may have been folded into accounts since: so what was written is tried again as it is, and a mark in the door's own
// key tells.
func (d *Service) land(key string, text []byte) error {
	mark := markPrefix + d.incarnationName()
	number, err := json.Marshal(key)
	if err != nil {
		return err
	}
	for end := time.Now().Add(within); ; {
		old, ok, err := d.options.Replica.ReadFromLeader(mark)
		if err == nil && ok && string(old.Value) == string(number) {
			return nil // it has landed
		}
		if err == nil {
			err = d.options.Replica.Edit([]kv.Edit{{Key: key, Value: text}, {Key: mark, Value: number, Check: true, If: old.Index}})
		}
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
		select {
		case <-d.stop:
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// account reads an account: as this replica has it, or with all that has landed. What is written with the index it
// gives lands only if that was the last word.
func (d *Service) account(gestoria string, fresh bool) (a billing.Account, index kv.Index, err error) {
	e, ok := d.options.Replica.ReadLocal(accountPrefix + gestoria)
	if fresh {
		if e, ok, err = d.options.Replica.ReadFromLeader(accountPrefix + gestoria); err != nil {
			return a, 0, err
		}
	}
	if !ok {
		return billing.Account{Tenant: gestoria}, 0, nil
	}
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return a, 0, fmt.Errorf("account of %s: %w", gestoria, err)
	}
	return a, e.Index, nil
}

// ErrStore says that a step is not known to have landed. It may land yet; asked again with the same id or epoch it is
// done once.
var ErrStore = errors.New("the store gives no answer; ask again with the same words")

// step does one step of an account. do may be called more than once.
func (d *Service) step(gestoria string, do func(t billing.Settings, now int64, a billing.Account) (billing.Account, error)) error {
	fresh := false // a step that goes through on what is here costs one write; a refusal, or a conflict, looks further
	for end := time.Now().Add(within); ; {
		a, index, err := d.account(gestoria, fresh)
		if err == nil {
			b, refused := do(d.options.Settings(), d.options.Now().UnixNano(), a)
			if refused != nil && !fresh {
				fresh = true
				continue
			}
			if refused != nil {
				d.counts.Rejected.Add(1)
				return refused
			}
			var e kv.Edit
			if e, err = edit(b, index); err == nil {
				err = d.options.Replica.Edit([]kv.Edit{e})
			}
			if err == nil {
				d.counts.Operations.Add(1)
				return nil
			}
		}
		var conflict kv.ConflictError
		if !errors.As(err, &conflict) {
			return fmt.Errorf("%w (%v)", ErrStore, err)
		}
		if time.Now().After(end) {
			return ErrStore
		}
		fresh = true // another step was quicker
	}
}

// edit writes an account, or deletes one with nothing in it.
func edit(a billing.Account, index kv.Index) (kv.Edit, error) {
	e := kv.Edit{Key: accountPrefix + a.Tenant, Check: true, If: index}
	if a.IsEmpty() {
		return e, nil
	}
	text, err := json.Marshal(a)
	e.Value = text
	return e, err
}

// Change sets a gestoría's plan from a moment on.
func (d *Service) Change(gestoria string, c billing.PlanChange) error {
	return d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (billing.Account, error) {
		return a.SchedulePlanChange(t, now, c)
	})
}

// CancelChange takes a change back.
func (d *Service) CancelChange(gestoria, id string) error {
	return d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (billing.Account, error) {
		return a.CancelPlanChange(t, now, id)
	})
}

// Reserve holds units.
func (d *Service) Reserve(gestoria, id, holder, plan string, units billing.Units, lease time.Duration) (h billing.Reservation, err error) {
	err = d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (_ billing.Account, err error) {
		a, h, err = a.Reserve(t, now, billing.ReservationRequest{ID: id, Holder: holder, Plan: plan, Units: units, LeaseNanos: int64(lease)})
		return a, err
	})
	return h, err
}

// Commit turns reserved units into use.
func (d *Service) Commit(gestoria, id string, epoch uint64, units billing.Units) (h billing.Reservation, err error) {
	err = d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (_ billing.Account, err error) {
		a, h, err = a.Commit(t, now, id, epoch, units)
		return a, err
	})
	return h, err
}

// Renew holds a reservation for longer.
func (d *Service) Renew(gestoria, id string, epoch uint64, lease time.Duration) (h billing.Reservation, err error) {
	err = d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (_ billing.Account, err error) {
		a, h, err = a.Renew(t, now, id, epoch, int64(lease))
		return a, err
	})
	return h, err
}

// AdoptReservation makes a reservation another holder's.
func (d *Service) AdoptReservation(gestoria, id, holder string, lease time.Duration) (h billing.Reservation, err error) {
	err = d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (_ billing.Account, err error) {
		a, h, err = a.AdoptReservation(t, now, id, holder, int64(lease))
		return a, err
	})
	return h, err
}

// Release gives what is left of a reservation back.
func (d *Service) Release(gestoria, id string, epoch uint64) error {
	return d.step(gestoria, func(t billing.Settings, now int64, a billing.Account) (billing.Account, error) {
		return a.Release(t, now, id, epoch)
	})
}

// Account is an account as the leader has it, and its room in the window that is open.
func (d *Service) Account(gestoria, plan string) (a billing.Account, room billing.Units, err error) {
	if a, _, err = d.account(gestoria, true); err != nil {
		return a, 0, fmt.Errorf("%w (%v)", ErrStore, err)
	}
	t, now := d.options.Settings(), d.options.Now().UnixNano()
	return a, a.Available(t, now-now%t.WindowNanos, now, plan), nil
}

// clerkship is who folds reports and closes windows.
type exportLease struct {
	Holder       string `json:"who"`
	ExpiresNanos int64  `json:"until"` // unix ns
}

// isClerk says whether this desk is the clerk: the one that folds reports and looks for what is over, so that not every
// door reads all accounts each second. Two at once would do no harm, since each write names what it read. It is not the
// store's leader, which may be a replica without a front door: nothing was folded then, for as long as that one led.
func (d *Service) isClerk() bool {
	d.clerks.Lock()
	defer d.clerks.Unlock()
	now := d.options.Now().UnixNano()
	if now < d.until-int64(d.options.LeaseDuration)/2 {
		return true
	}
	e, ok := d.options.Replica.ReadLocal(leaseKey)
	var c exportLease
	if ok && json.Unmarshal(e.Value, &c) == nil && c.Holder != d.incarnationName() && now < c.ExpiresNanos+d.options.Settings().ClockSkewNanos {
		return false
	}
	if err := d.appoint(exportLease{d.incarnationName(), now + int64(d.options.LeaseDuration)}, e.Index); err != nil {
		return now < d.until
	}
	d.until = now + int64(d.options.LeaseDuration)
	return true
}

func (d *Service) appoint(c exportLease, index kv.Index) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return d.options.Replica.Edit([]kv.Edit{{Key: leaseKey, Value: text, Check: true, If: index}})
}

// resign lets another desk be the clerk at once.
func (d *Service) resign() {
	d.clerks.Lock()
	defer d.clerks.Unlock()
	if d.until == 0 {
		return
	}
	if e, ok := d.options.Replica.ReadLocal(leaseKey); ok {
		var c exportLease
		if json.Unmarshal(e.Value, &c) == nil && c.Holder == d.incarnationName() {
			d.appoint(exportLease{c.Holder, 0}, e.Index) // it runs out by itself otherwise
		}
	}
}

// fold adds reported use to accounts: reports go and their units come in one write, as many as it takes. A second write
// at once would meet accounts that this replica has not heard of yet: report by report, a clerk that is not the store's
// leader folded four a second and fell behind two doors.
func (d *Service) commitReports() error {
	if !d.isClerk() {
		return nil
	}
	accounts, indices := map[string]billing.Account{}, map[string]kv.Index{}
	var edits []kv.Edit
	var bad error
	names := slices.Sorted(maps.Keys(d.options.Replica.ReadPrefix(reportPrefix)))
	for _, name := range names {
		e, ok := d.options.Replica.ReadLocal(reportPrefix + name)
		if !ok {
			continue
		}
		var items []usageItem
		if err := json.Unmarshal(e.Value, &items); err != nil {
			bad = fmt.Errorf("report %s: %w", name, err)
			continue
		}
		if len(edits)+len(accounts)+len(items) >= mostEdits {
			break
		}
		now, at := maps.Clone(accounts), maps.Clone(indices)
		var err error
		for _, x := range items {
			a, ok := now[x.Tenant]
			if !ok {
				a, at[x.Tenant], err = d.account(x.Tenant, false)
			}
			if err == nil {
				now[x.Tenant], err = a.RecordUsage(d.options.Settings(), x.WindowStartNanos, x.Plan, x.Units)
			}
			if err != nil {
				break
			}
		}
		if err != nil { // it stays until somebody looks: use is not dropped in silence, and others are not held up
			bad = fmt.Errorf("report %s: %w", name, err)
			continue
		}
		accounts, indices = now, at
		edits = append(edits, kv.Edit{Key: reportPrefix + name, Check: true, If: e.Index})
	}
	if len(edits) == 0 {
		return bad
	}
	for _, g := range slices.Sorted(maps.Keys(accounts)) {
		x, err := edit(accounts[g], indices[g])
		if err != nil {
			return err
		}
		edits = append(edits, x)
	}
	err := d.options.Replica.Edit(edits)
	var conflict kv.ConflictError
	if errors.As(err, &conflict) {
		return bad // an account was changed meanwhile: in the next round
	}
	return errors.Join(err, bad)
}

// state is how far the export is.
type exportState struct {
	Next  uint64 `json:"next"`            // sequence of the next record
	Acked uint64 `json:"acked"`           // the last one that the receiver has
	First uint64 `json:"first,omitempty"` // of the batch that is being sent: one is sent until it is taken, as it is
	Last  uint64 `json:"last,omitempty"`
}

func (d *Service) readExportState() (s exportState, index kv.Index, err error) {
	e, ok, err := d.options.Replica.ReadFromLeader(exportKey)
	if err != nil || !ok {
		return exportState{Next: 1}, 0, err
	}
	return s, e.Index, json.Unmarshal(e.Value, &s)
}

func recordKeyAt(n uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, n) }

// sweep returns reservations whose leases are over, and makes records of windows that are: as many accounts in a write
// as it takes, since windows of all gestorías end together.
func (d *Service) compact() error {
	if !d.isClerk() {
		return nil
	}
	names := slices.Sorted(maps.Keys(d.options.Replica.ReadPrefix(accountPrefix)))
	for tries := 0; len(names) > 0 && tries < mostTries; tries++ {
		s, at, err := d.readExportState()
		if err != nil {
			return err
		}
		if e, _ := d.options.Replica.ReadLocal(exportKey); e.Index < at { // this replica has yet to hear of the last write
			select {
			case <-d.stop:
				return nil
			case <-time.After(5 * time.Millisecond):
			}
			continue
		}
		var edits []kv.Edit
		if edits, names, err = d.settle(names, &s); err != nil || len(edits) == 0 {
			return err
		}
		text, err := json.Marshal(s)
		if err != nil {
			return err
		}
		err = d.options.Replica.Edit(append(edits, kv.Edit{Key: exportKey, Value: text, Check: true, If: at}))
		var conflict kv.ConflictError
		if errors.As(err, &conflict) {
			return nil // in the next round
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// settle gives the edits of the first accounts named whose time has come, with their records numbered on, and the names
// that are left.
func (d *Service) settle(names []string, s *exportState) (edits []kv.Edit, left []string, err error) {
	t := d.options.Settings()
	for n, g := range names {
		a, index, err := d.account(g, false)
		if err != nil || index == 0 {
			continue // it is gone, or cannot be read, which a step on it tells
		}
		now := d.options.Now().UnixNano()
		b, records := a.ExpireReservations(t, now).CloseWindows(t, now, s.Next)
		was, _ := json.Marshal(a)
		is, _ := json.Marshal(b)
		if string(was) == string(is) {
			continue
		}
		if len(edits)+len(records)+1 > mostEdits && len(edits) > 0 {
			return edits, names[n:], nil
		}
		e, err := edit(b, index)
		if err != nil {
			return nil, nil, err
		}
		edits = append(edits, e)
		for _, r := range records {
			text, err := json.Marshal(r)
			if err != nil {
				return nil, nil, err
			}
			edits = append(edits, kv.Edit{Key: recordKeyAt(r.Sequence), Value: text, Check: true})
		}
		s.Next += uint64(len(records))
	}
	return edits, nil, nil
}
