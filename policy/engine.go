package policy

import (
	"cmp"
	"math"

	"fawnplank/internal/nanos"
)

const (
	tickInterval = 100 * millisecond // at rarer ticks one ranking would stand for too many attempts
	// roundingTolerance forgives rounding: the counter reports totals to seven digits.
	roundingTolerance = 0.01
)

// New returns the decisions of one instance.
func New(now int64, seed uint64, settings Settings, effects Effects) *Engine {
	e := newEngine(now, seed, effects)
	e.UpdateSettings(settings)
	if settings.PollEndpoints {
		// Instances that start together poll one after another: within what a poll may take, and by 3.5 s, so that
		// each has its list by six seconds.
		spread := min(int64(settings.Instances-1)*50*millisecond, settings.PollTimeout/2, 3500*millisecond)
		delay := int64(e.random.Float64() * float64(spread))
		e.schedule(now+delay, nil, func(int64) { effects.WatchEndpoints() })
	}
	e.tick(now)
	return e
}

// UpdateSettings replaces the settings. Rows of classes and plans are only added: open requests keep theirs.
func (e *Engine) UpdateSettings(settings Settings) {
	e.settings = settings
	e.retryDelay = settings.DiscoveryTimeouts().RetryDelay
	for _, row := range settings.Classes[len(e.classes):] {
		// The post's 45 of 300 ms is dear where calls queue. Four fifths stay below the counter's own timeout.
		wait := max(min(row.LatencyObjective/20, settings.CounterTimeout*4/5), millisecond)
		e.classes = append(e.classes, class{ClassSettings: row, counterWait: wait})
		e.defaultLatency = min(cmp.Or(e.defaultLatency, math.Inf(1)), float64(row.LatencyObjective)/5)
	}
	for _, row := range settings.Plans[len(e.plans):] {
		e.plans = append(e.plans, newPlan(row))
	}
}

func newPlan(settings PlanSettings) plan {
	p := plan{PlanSettings: settings}
	if p.Rate > 0 {
		// The counter drops counts after a minute; the lower bound keeps absurd plans from spinning.
		p.window = nanos.FromSeconds(min(max(p.Burst/p.Rate, 0.01), 50))
		p.quota = nanos.Accrued(p.Rate, p.window)
		// Far above any units of a window, and still exact beside them; the counter takes 1e9 at most.
		unit := math.Exp2(math.Ceil(math.Log2(64 * max(p.quota, 1))))
		if unit*float64(p.ConcurrencyLimit) <= 1e8 {
			p.concurrencyUnit = unit * min(float64(p.ConcurrencyLimit), 1)
		}
	}
	return p
}

// tick is the periodic work.
func (e *Engine) tick(now int64) {
	e.updateThroughput()
	e.updateBaselineLatency(now)
	e.fadeMeasurements(now)
	e.dropGone()
	e.rankBackends(now)
	e.effects.WakeAt(now+tickInterval, tickTimer)
}

// ImportState takes over what an earlier incarnation of the instance measured, aged: it counts for as much
// less as it would have faded meanwhile. A backend's own latency halves in 3.4 s (the fade of
// fadeMeasurements), that of all together in ten minutes, for a fleet changes in the course of a day. What
// was measured since stays, and so does what rule 4 (overload while warming up) rests on: that is measured
// anew.
func (e *Engine) ImportState(now int64, state WarmStartState, age int64) {
	const (
		fleetHalfLife   = 600 * second
		backendHalfLife = 3.4 * float64(second)
		maxSamples      = 30
		maxLatency      = 1e12
	)
	faded := func(samples, halfLives float64) float64 {
		return min(max(samples, 0), maxSamples) * math.Exp2(-halfLives)
	}
	valid := func(latency float64) bool { return latency > 0 && latency < maxLatency }
	aged := float64(max(age, 0))
	samples := faded(state.Samples, aged/float64(fleetHalfLife))
	if samples > e.latency.Count && valid(state.BaselineLatency) {
		e.latency.Value, e.latency.Count = state.BaselineLatency, samples
	}
	for _, known := range state.Backends {
		b := e.backends[known.Backend]
		samples := faded(known.Samples, aged/backendHalfLife)
		if b != nil && b.startedAt == known.StartedAt && samples > b.latency.Count && valid(known.BaselineLatency) {
			b.latency.Value, b.latency.Count = known.BaselineLatency, samples
		}
	}
	e.rankBackends(now)
}
