package billing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// conservation does random operations on an account, and sums independently what they must amount to.
type conservation struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	settings     Settings
	account      Account
	nextSequence uint64
	used         MicroUnits            // recorded and committed
	exported     map[string]MicroUnits // by plan
	reserved     map[string]MicroUnits // by reservation
	committed    map[string]MicroUnits // by reservation
	epochs       map[string]uint64
}

// operation is what one operation of an account is given.
type operation struct {
	number     int
	clockNanos int64  // of the instance that does it
	id         string // of a reservation
	units      MicroUnits
}

// do does one operation of a random kind.
func (c *conservation) do(op operation) error {
	c.t.Helper()
	switch c.random.IntN(9) {
	case 0:
		return c.changePlan(op)
	case 1, 2:
		return c.recordUsage(op)
	case 3, 4:
		return c.reserve(op)
	case 5:
		return c.commit(op)
	case 6:
		var err error
		c.account, err = c.account.Release(c.settings, op.clockNanos, op.id, c.epochs[op.id])
		return err
	case 7:
		c.account = c.account.ExpireReservations(c.settings, op.clockNanos)
	case 8:
		c.closeWindows(op)
	}
	return nil
}

func (c *conservation) changePlan(op operation) (err error) {
	change := PlanChange{
		ID:             fmt.Sprint(op.number),
		EffectiveNanos: op.clockNanos + int64(c.random.IntN(20))*second,
		Plan:           []string{"small", "large", "gold"}[c.random.IntN(3)],
	}
	c.account, err = c.account.SchedulePlanChange(c.settings, op.clockNanos, change)
	return err
}

func (c *conservation) recordUsage(op operation) (err error) {
	start := c.settings.WindowStart(op.clockNanos - int64(c.random.IntN(90))*second)
	plan := []string{"small", "large"}[c.random.IntN(2)]
	c.account, err = c.account.RecordUsage(c.settings, start, plan, op.units)
	if err == nil {
		c.used += op.units
	}
	return err
}

func (c *conservation) reserve(op operation) error {
	c.t.Helper()
	start := c.settings.WindowStart(op.clockNanos)
	expired := c.account.ExpireReservations(c.settings, op.clockNanos)
	available := expired.Available(c.settings, start, op.clockNanos, "small")
	request := ReservationRequest{
		ID:         op.id,
		Holder:     "me",
		Plan:       "small",
		MicroUnits: op.units,
		LeaseNanos: int64(1+c.random.IntN(20)) * second,
	}
	account, reservation, err := c.account.Reserve(c.settings, op.clockNanos, request)
	c.account = account
	if err != nil {
		return err
	}
	c.epochs[op.id] = reservation.Epoch
	if _, ok := c.reserved[op.id]; ok {
		return nil
	}
	c.reserved[op.id] = reservation.Remaining
	if reservation.Remaining > available {
		c.t.Fatalf("seed %d: %v reserved of %v", c.seed, reservation.Remaining, available)
	}
	return nil
}

// commit names a stale epoch one time in five.
func (c *conservation) commit(op operation) error {
	epoch := c.epochs[op.id] - uint64(c.random.IntN(5)/4)
	account, reservation, err := c.account.Commit(c.settings, op.clockNanos, op.id, epoch, op.units)
	c.account = account
	if err != nil {
		return err
	}
	c.committed[op.id] += op.units
	c.used += op.units
	c.epochs[op.id] = reservation.Epoch
	return nil
}

func (c *conservation) closeWindows(op operation) {
	c.t.Helper()
	var records []UsageRecord
	c.account, records = c.account.CloseWindows(c.settings, op.clockNanos, c.nextSequence)
	for _, record := range records {
		if record.Sequence != c.nextSequence || record.MicroUnits <= 0 {
			c.t.Fatalf("seed %d: %+v after %d", c.seed, record, c.nextSequence)
		}
		c.nextSequence++
		c.exported[record.Plan] += record.MicroUnits
	}
}

// check compares the account with what the operations so far must amount to.
func (c *conservation) check(number int) {
	c.t.Helper()
	sum := MicroUnits(0)
	for _, window := range c.account.Windows {
		for _, units := range window.UnexportedByPlan {
			sum += units
		}
	}
	for _, units := range c.exported {
		sum += units
	}
	if sum != c.used {
		c.t.Fatalf("seed %d, operation %d: %v used, %v in records and windows", c.seed, number, c.used, sum)
	}
	for id, reserved := range c.reserved {
		remaining := c.account.Reservations[id].Remaining
		if remaining+c.committed[id] > reserved {
			c.t.Fatalf("seed %d, operation %d: %v reserved as %s, %v committed and %v remaining",
				c.seed, number, reserved, id, c.committed[id], remaining)
		}
	}
}

// run does 600 operations, whose moments advance while the instances' clocks differ by up to the skew.
func (c *conservation) run() {
	c.t.Helper()
	now := 6000 * second
	for number := range 600 {
		now += int64(c.random.IntN(4)) * second / 2
		op := operation{
			number:     number,
			clockNanos: now + int64(c.random.IntN(1000))*second/1000,
			id:         fmt.Sprint("r", number/10-c.random.IntN(3)),
			units:      MicroUnits(1+c.random.IntN(40)) * 1e5,
		}
		before := c.account
		text := fmt.Sprint(before)
		err := c.do(op)
		isMutated := fmt.Sprint(before) != text
		after := fmt.Sprint(c.account.Windows, c.account.PlanChanges)
		isChanged := after != fmt.Sprint(before.Windows, before.PlanChanges)
		if isMutated || err != nil && isChanged {
			c.t.Fatalf("seed %d, operation %d: an account was changed by what did not happen: %v", c.seed, number, err)
		}
		c.check(number)
	}
}

// TestAccount_ConservesUnits does operations in random order, on clocks that differ. Units are neither lost
// nor made: what was used and committed is in records and open windows, each once; what was reserved is committed,
// returned or still reserved; no reservation exceeds the allowance; sequences have no gap.
func TestAccount_ConservesUnits(t *testing.T) {
	for seed := range uint64(60) {
		c := &conservation{
			t:            t,
			seed:         seed,
			random:       rand.New(rand.NewPCG(seed, 7)),
			settings:     testSettings(),
			account:      Account{Tenant: "g"},
			nextSequence: 1,
			exported:     map[string]MicroUnits{},
			reserved:     map[string]MicroUnits{},
			committed:    map[string]MicroUnits{},
			epochs:       map[string]uint64{},
		}
		c.run()
		if c.used == 0 || c.nextSequence < 5 || len(c.reserved) < 5 {
			t.Fatalf("seed %d shows little: %v, %d, %d", seed, c.used, c.nextSequence, len(c.reserved))
		}
	}
}
