package config

import (
	"encoding/json"
	"fmt"
	"math"

	"fawnplank/policy"
)

// Nanoseconds turns milliseconds into the decisions' unit. The bound of a thousand hours is met by absurd
// figures alone, which must not overflow.
func Nanoseconds(ms float64) int64 { return int64(math.Round(min(max(ms, -3.6e9), 3.6e9) * 1e6)) }

// object is a JSON object of the settings; path names it in messages.
type object struct {
	path string
	m    map[string]any
	err  *error // the first fault met sticks
}

func (o object) fault(key, what string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("settings: %s%s %s", o.path, key, what)
	}
}

// get finds a value of the wanted type; one that must be there and is not is a fault.
func get[T any](o object, key string, must bool) T {
	x, there := o.m[key]
	v, ok := x.(T)
	if !ok && (there && x != nil || must) {
		if there {
			o.fault(key, "is of the wrong type")
		} else {
			o.fault(key, "is missing")
		}
	}
	return v
}

func (o object) need(key string) float64 { return get[float64](o, key, true) }
func (o object) num(key string) float64  { return get[float64](o, key, false) }
func (o object) yes(key string) bool     { return get[bool](o, key, false) }
func (o object) text(key string) string  { return get[string](o, key, false) }
func (o object) in(key string, must bool) object {
	return object{o.path + key + ".", get[map[string]any](o, key, must), o.err}
}

func (o object) rows(key string) []object {
	var rows []object
	for n, x := range get[[]any](o, key, true) {
		path := fmt.Sprintf("%s%s[%d]", o.path, key, n)
		m, ok := x.(map[string]any)
		if !ok {
			o.fault(fmt.Sprintf("%s[%d]", key, n), "is no object")
		}
		rows = append(rows, object{path + ".", m, o.err})
	}
	return rows
}

// word translates one of a set of words.
func word[T any](o object, key string, words map[string]T) T {
	v, ok := words[o.text(key)]
	if !ok {
		o.fault(key, fmt.Sprintf("is %q, which has no meaning", o.text(key)))
	}
	return v
}

// count gives a whole number that fits.
func count(x float64) int { return int(math.Round(min(max(x, 0), 1e9))) }

// ParseSettings turns the settings into the terms of a front door.
func ParseSettings(text []byte) (policy.Settings, error) {
	var fault error
	top := object{"", nil, &fault}
	if err := json.Unmarshal(text, &top.m); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: no JSON object: %w", err)
	}
	terms := readTerms(top)
	return terms, fault
}

func readTerms(top object) policy.Settings {
	family, allowed := top.in("family-info", false), top.in("permissions", true)
	rules := top.in("invariants", true)
	terms := policy.Settings{
		InstanceIndex: count(top.need("me")), Instances: count(top.need("replicas-of-me")),
		Zone:        policy.ZoneID(count(top.num("my-zone"))),
		MaxAttempts: count(allowed.need("send-cap")), Hedging: allowed.yes("second-copies"),
		Cancellation: allowed.yes("cancelling"), HealthChecks: allowed.yes("probes"), RetryAfter: allowed.yes("retry-after"),
		MaxRetryAfter:  Nanoseconds(allowed.num("max-retry-after-ms")),
		CounterEnabled: family.yes("may-count"), CounterTimeout: Nanoseconds(family.num("counter-timeout-ms")),
		PostPaid: family.yes("post-paid"), PollEndpoints: top.text("discovery") == "on_request",
		PollTimeout: Nanoseconds(rules.num("ask-within-ms")), DrainGrace: 1e9, // where none is named
		SlowStartShare: rules.need("cold-share"), SlowStartDuration: Nanoseconds(rules.need("warm-up-ms")),
		OverloadMultiple: rules.need("tip-multiple"), OverloadWindow: Nanoseconds(rules.need("fall-ms")),
		CrossZoneCost: top.in("prices", false).num("cross-zone"),
	}
	if _, there := rules.m["stop-sending-within-ms"]; there {
		if terms.DrainGrace = Nanoseconds(rules.num("stop-sending-within-ms")); terms.DrainGrace <= 0 {
			rules.fault("stop-sending-within-ms", "is not above 0")
		}
	}
	if terms.MaxAttempts < 1 {
		allowed.fault("send-cap", "is not above 0")
	}
	for _, l := range top.rows("lanes") {
		p := policy.ClassSettings{LatencyObjective: Nanoseconds(l.need("goal-time-ms")),
			Deadline:  Nanoseconds(l.need("deadline-ms")),
			LateValue: l.num("late-worth"), DedupWindow: Nanoseconds(l.num("window-ms"))}
		p.Idempotency = word(l, "effect", map[string]policy.Idempotency{"read_like": policy.Idempotent,
			"idempotency_key": policy.IdempotentWithKey, "non_idempotent": policy.NonIdempotent})
		if p.Idempotency == policy.IdempotentWithKey {
			p.DedupScope = word(l, "group", map[string]policy.DedupScope{"all": policy.DedupByAll, "zone": policy.DedupByZone,
				"cell": policy.DedupByGroup})
		}
		if _, there := l.m["silence"]; there { // left out, the door keeps its share
			p.FallbackMode = word(l, "silence", map[string]policy.FallbackMode{"share": policy.LocalShare,
				"open": policy.FailOpen, "closed": policy.FailClosed})
		}
		if p.Deadline <= 0 {
			l.fault("deadline-ms", "is not above 0")
		}
		terms.Classes = append(terms.Classes, p)
	}
	for _, p := range top.rows("tariffs") {
		for _, key := range []string{"quota-rate", "peak-units", "parallel", "cap-rate", "ceiling-burst",
			"beyond-earns", "beyond-costs"} {
			if p.num(key) < 0 {
				p.fault(key, "is below 0")
			}
		}
		if n := p.num("parallel"); n != math.Trunc(n) {
			p.fault("parallel", "is no whole number")
		}
		terms.Plans = append(terms.Plans, policy.PlanSettings{Rate: p.need("quota-rate"), Burst: p.need("peak-units"),
			ConcurrencyLimit: count(p.num("parallel")), HardQuotaRate: p.num("cap-rate"), HardQuotaBurst: p.num("ceiling-burst"),
			OverQuotaValue: p.num("beyond-earns"), OverQuotaCost: p.num("beyond-costs")})
	}
	return terms
}
