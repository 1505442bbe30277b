package billing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// accountModel applies random operations to an account and computes the expected sums independently.
type accountModel struct {
	t              *testing.T
	seed           uint64
	random         *rand.Rand
	settings       Settings
	account        Account
	nextSequence   uint64
	usedUnits      MicroUnits            // recorded and committed
	exportedUnits  map[string]MicroUnits // by plan
	reservedUnits  map[string]MicroUnits // by reservation id
	committedUnits map[string]MicroUnits // by reservation id
	epochs         map[string]uint64     // the last known epoch, by reservation id
}

// operationInput holds the random arguments of one operation.
type operationInput struct {
	number     int
	clockNanos int64  // the clock of the instance that performs the operation, unix ns
	id         string // a reservation id
	units      MicroUnits
}

// doRandomOperation performs one operation of a random kind.
func (m *accountModel) doRandomOperation(op operationInput) error {
	m.t.Helper()
	switch m.random.IntN(9) {
	case 0:
		return m.changePlan(op)
	case 1, 2:
		return m.recordUsage(op)
	case 3, 4:
		return m.reserve(op)
	case 5:
		return m.commit(op)
	case 6:
		var err error
		m.account, err = m.account.Release(m.settings, op.clockNanos, op.id, m.epochs[op.id])
		return err
	case 7:
		m.account = m.account.ExpireReservations(m.settings, op.clockNanos)
	case 8:
		m.closeWindows(op)
	}
	return nil
}

func (m *accountModel) changePlan(op operationInput) (err error) {
	change := PlanChange{
		ID:             fmt.Sprint(op.number),
		EffectiveNanos: op.clockNanos + int64(m.random.IntN(20))*second,
		Plan:           []string{"small", "large", "gold"}[m.random.IntN(3)],
	}
	m.account, err = m.account.SchedulePlanChange(m.settings, op.clockNanos, change)
	return err
}

func (m *accountModel) recordUsage(op operationInput) (err error) {
	windowStartNanos := m.settings.WindowStart(op.clockNanos - int64(m.random.IntN(90))*second)
	plan := []string{"small", "large"}[m.random.IntN(2)]
	m.account, err = m.account.RecordUsage(m.settings, windowStartNanos, plan, op.units)
	if err == nil {
		m.usedUnits += op.units
	}
	return err
}

func (m *accountModel) reserve(op operationInput) error {
	m.t.Helper()
	windowStartNanos := m.settings.WindowStart(op.clockNanos)
	afterExpiry := m.account.ExpireReservations(m.settings, op.clockNanos)
	available := afterExpiry.Available(m.settings, windowStartNanos, op.clockNanos, "small")
	request := ReservationRequest{
		ID:         op.id,
		Holder:     "me",
		Plan:       "small",
		MicroUnits: op.units,
		LeaseNanos: int64(1+m.random.IntN(20)) * second,
	}
	account, reservation, err := m.account.Reserve(m.settings, op.clockNanos, request)
	m.account = account
	if err != nil {
		return err
	}
	m.epochs[op.id] = reservation.Epoch
	if _, ok := m.reservedUnits[op.id]; ok {
		return nil
	}
	m.reservedUnits[op.id] = reservation.Remaining
	if reservation.Remaining > available {
		m.t.Fatalf("seed %d: %v reserved with %v available", m.seed, reservation.Remaining, available)
	}
	return nil
}

// commit passes a stale epoch in one call of five.
func (m *accountModel) commit(op operationInput) error {
	epoch := m.epochs[op.id] - uint64(m.random.IntN(5)/4)
	account, reservation, err := m.account.Commit(m.settings, op.clockNanos, op.id, epoch, op.units)
	m.account = account
	if err != nil {
		return err
	}
	m.committedUnits[op.id] += op.units
	m.usedUnits += op.units
	m.epochs[op.id] = reservation.Epoch
	return nil
}

func (m *accountModel) closeWindows(op operationInput) {
	m.t.Helper()
	var records []UsageRecord
	m.account, records = m.account.CloseWindows(m.settings, op.clockNanos, m.nextSequence)
	for _, record := range records {
		if record.Sequence != m.nextSequence || record.MicroUnits <= 0 {
			m.t.Fatalf("seed %d: record %+v, want sequence %d and units above 0", m.seed, record, m.nextSequence)
		}
		m.nextSequence++
		m.exportedUnits[record.Plan] += record.MicroUnits
	}
}

// checkConservation compares the account with the sums expected after the operations so far.
func (m *accountModel) checkConservation(number int) {
	m.t.Helper()
	sum := MicroUnits(0)
	for _, window := range m.account.Windows {
		for _, units := range window.UnexportedByPlan {
			sum += units
		}
	}
	for _, units := range m.exportedUnits {
		sum += units
	}
	if sum != m.usedUnits {
		m.t.Fatalf("seed %d, operation %d: %v used, but %v in records and windows", m.seed, number, m.usedUnits, sum)
	}
	for id, reservedUnits := range m.reservedUnits {
		remaining := m.account.Reservations[id].Remaining
		if remaining+m.committedUnits[id] > reservedUnits {
			m.t.Fatalf("seed %d, operation %d: %v reserved as %s, %v committed and %v remaining",
				m.seed, number, reservedUnits, id, m.committedUnits[id], remaining)
		}
	}
}

// run performs 600 operations at increasing times, on instance clocks that differ by up to the clock skew.
func (m *accountModel) run() {
	m.t.Helper()
	nowNanos := 6000 * second
	for number := range 600 {
		nowNanos += int64(m.random.IntN(4)) * second / 2
		op := operationInput{
			number:     number,
			clockNanos: nowNanos + int64(m.random.IntN(1000))*second/1000,
			id:         fmt.Sprint("r", number/10-m.random.IntN(3)),
			units:      MicroUnits(1+m.random.IntN(40)) * 1e5,
		}
		before := m.account
		textBefore := fmt.Sprint(before)
		err := m.doRandomOperation(op)
		isInputMutated := fmt.Sprint(before) != textBefore
		after := fmt.Sprint(m.account.Windows, m.account.PlanChanges)
		isResultChanged := after != fmt.Sprint(before.Windows, before.PlanChanges)
		if isInputMutated || err != nil && isResultChanged {
			m.t.Fatalf("seed %d, operation %d: modified its input, or changed the account although it failed: %v",
				m.seed, number, err)
		}
		m.checkConservation(number)
	}
}

// TestAccount_ConservesUnits performs operations in random order on clocks that differ. It checks that used and
// committed units are in exactly one record or open window, that no more units are committed and remaining than were
// reserved, that no reservation exceeds the available units, and that sequence numbers have no gaps.
func TestAccount_ConservesUnits(t *testing.T) {
	for seed := range uint64(60) {
		model := &accountModel{
			t:              t,
			seed:           seed,
			random:         rand.New(rand.NewPCG(seed, 7)),
			settings:       testSettings(),
			account:        Account{Tenant: "g"},
			nextSequence:   1,
			exportedUnits:  map[string]MicroUnits{},
			reservedUnits:  map[string]MicroUnits{},
			committedUnits: map[string]MicroUnits{},
			epochs:         map[string]uint64{},
		}
		model.run()
		if model.usedUnits == 0 || model.nextSequence < 5 || len(model.reservedUnits) < 5 {
			t.Fatalf("seed %d covers too little: %v used, next sequence %d, %d reservations",
				seed, model.usedUnits, model.nextSequence, len(model.reservedUnits))
		}
	}
}
