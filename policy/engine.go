package policy

import (
	"cmp"
	"math"

	"fawnplank/internal/nanos"
)

const tickInterval = 100 * millisecond // with rarer ticks one ranking would serve too many attempts
const roundingTolerance = 0.01         // forgives rounding: the counter reports totals to seven digits

// New returns the Engine of one instance and schedules its first work.
func New(now int64, seed uint64, settings Settings, effects Effects) *Engine {
	e := newEngine(now, seed, effects)
	e.UpdateSettings(settings)
	if settings.PollEndpoints {
		// Instances started together spread their polls within a poll's time: each has its list in six seconds.
		spread := min(int64(settings.Instances-1)*50*millisecond, settings.PollTimeout/2, 3500*millisecond)
		e.schedule(now+int64(e.random.Float64()*float64(spread)), nil, func(int64) { effects.WatchEndpoints() })
	}
	e.tick(now)
	return e
}

// UpdateSettings replaces the settings. It only adds rows of classes and plans: open requests keep theirs.
func (e *Engine) UpdateSettings(settings Settings) {
	e.settings = settings
	e.retryDelay = settings.DiscoveryTimeouts().RetryDelay
	for _, row := range settings.Classes[len(e.classes):] {
		// The post's 45 of 300 ms is costly where calls queue. Four fifths stay below the counter's own timeout.
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
		// Far above any window's units, and still exact when added to them; the counter takes 1e9 at most.
		unit := math.Exp2(math.Ceil(math.Log2(64 * max(p.quota, 1))))
		if unit*float64(p.ConcurrencyLimit) <= 1e8 {
			p.concurrencyUnit = unit * min(float64(p.ConcurrencyLimit), 1)
		}
	}
	return p
}

// tick does the periodic work.
func (e *Engine) tick(now int64) {
	e.updateThroughput()
	e.updateBaselineLatency(now)
	e.fadeMeasurements(now)
	e.dropGone()
	e.rankBackends(now)
	e.effects.WakeAt(now+tickInterval, tickTimer)
}

// warmStartAging reduces the weight of what an earlier incarnation of the instance measured by as much as it
// would have faded since: a backend's own latency halves in 3.4 s (as in fadeMeasurements), the fleet's in
// ten minutes, since a fleet changes in the course of a day. The measurements behind rule 4 (overload while
// warming up) are not taken over but made anew.
var warmStartAging = aging{fleetHalfLife: 600 * second, backendHalfLife: 3400 * millisecond, maxSamples: 30,
	maxLatency: 1e12}
