package scenario

import (
	"encoding/json"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// The values of gateway settings that correspond to values in scenario files.
var (
	idempotencySettings = map[Idempotency]string{
		Idempotent:        "read_like",
		IdempotentWithKey: "idempotency_key",
		NonIdempotent:     "non_idempotent",
	}
	scopeSettings = map[DedupScope]string{
		DedupByAll:   "all",
		DedupByZone:  "zone",
		DedupByGroup: "cell",
	}
	fallbackSettings = map[Fallback]string{
		LocalShare: "share",
		FailOpen:   "open",
		FailClosed: "closed",
	}
)

// inMillis returns a time in milliseconds, the unit of times in the gateway's settings.
func inMillis(span Span) float64 { return float64(span) / float64(millisecond) }

// GatewaySettings returns the settings of a gateway instance in the form that package config reads. They do not
// contain the drain grace: Rules.DrainGrace applies only to the checker, and gateways use their default.
func (s *Scenario) GatewaySettings(instance int) map[string]any {
	zones := make([]string, s.Backends.Zones)
	for n := range zones {
		zones[n] = ZoneName(n)
	}
	var classes, plans []map[string]any
	for _, class := range s.Classes {
		classes = append(classes, class.settings())
	}
	for _, plan := range s.Plans {
		plans = append(plans, plan.settings())
	}
	return map[string]any{
		"me":             instance,
		"replicas-of-me": s.Instances.Count,
		"zones":          zones,
		"my-zone":        instance % s.Backends.Zones,
		"discovery":      "pushed",
		"lanes":          classes,
		"tariffs":        plans,
		"family-info": map[string]any{
			"may-count":          !s.Counter.Off,
			"counter-timeout-ms": inMillis(s.Counter.Timeout),
		},
		"permissions": map[string]any{
			"send-cap":           s.Permissions.MaxAttempts,
			"second-copies":      s.Permissions.HedgedAttempts,
			"cancelling":         s.Permissions.Cancellation, //nolint:misspell // the settings' own key
			"probes":             s.Permissions.HealthChecks,
			"retry-after":        s.Permissions.RetryAfter,
			"max-retry-after-ms": inMillis(s.Permissions.MaxRetryAfter),
		},
		"invariants": map[string]any{
			"cold-share":   s.Rules.SlowStartShare,
			"warm-up-ms":   inMillis(s.Rules.SlowStartDuration),
			"tip-multiple": s.Rules.OverloadMultiple,
			"fall-ms":      inMillis(s.Rules.OverloadWindow),
		},
	}
}

func (c *Class) settings() map[string]any {
	settings := map[string]any{
		"name":         c.Name,
		"effect":       idempotencySettings[c.Idempotency],
		"goal-time-ms": inMillis(c.LatencyObjective),
		"deadline-ms":  inMillis(c.Deadline),
		"late-worth":   c.LateValue,
	}
	if c.Idempotency == IdempotentWithKey {
		settings["group"] = scopeSettings[c.DedupScope]
		settings["window-ms"] = inMillis(c.DedupWindow)
	}
	if c.Fallback != "" {
		settings["silence"] = fallbackSettings[c.Fallback]
	}
	return settings
}

func (p *Plan) settings() map[string]any {
	return map[string]any{
		"name":          p.Name,
		"quota-rate":    p.Rate,
		"peak-units":    p.Burst,
		"parallel":      p.MaxConcurrent,
		"cap-rate":      p.HardQuotaRate,
		"ceiling-burst": p.HardQuotaBurst,
		"beyond-earns":  p.OverQuotaValue,
		"beyond-costs":  p.OverQuotaCost,
	}
}

// EngineSettings returns the engine settings that package config parses from GatewaySettings.
func (s *Scenario) EngineSettings(instance int) (policy.Settings, error) {
	text, err := json.Marshal(s.GatewaySettings(instance))
	if err != nil {
		return policy.Settings{}, err
	}
	return config.ParseSettings(text)
}
