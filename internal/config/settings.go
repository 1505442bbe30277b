package config

import (
	"fmt"
	"math"
	"time"

	"fawnplank/policy"
)

// defaultDrainGrace is the default of the time in which attempts may still be sent to a backend after its removal from
// the endpoint list.
const defaultDrainGrace = time.Second

// Valid strings of the settings with a fixed set of values.
var (
	idempotencyByName = map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.IdempotentWithKey,
		"non_idempotent":  policy.NonIdempotent,
	}
	dedupScopeByName = map[string]policy.DedupScope{
		"all":  policy.DedupByAll,
		"zone": policy.DedupByZone,
		"cell": policy.DedupByGroup,
	}
	fallbackModeByName = map[string]policy.FallbackMode{
		"share":  policy.LocalShare,
		"open":   policy.FailOpen,
		"closed": policy.FailClosed,
	}
)

// discoveryOnRequest is the value of keyDiscovery in the settings if the endpoint list has to be polled.
const discoveryOnRequest = "on_request"

// nonNegativePlanKeys lists the numbers of a plan that must not be below 0.
var nonNegativePlanKeys = []string{"quota-rate", "peak-units", keyConcurrency, "cap-rate", "ceiling-burst",
	"beyond-earns", "beyond-costs"}

// ParseSettings converts the platform's settings, a JSON object, to the input of package policy. An error about a key
// is a *SettingError.
func ParseSettings(text []byte) (policy.Settings, error) {
	top, err := decodeObject(text)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("settings: no JSON object: %w", err)
	}
	settings := readSettings(top)
	return settings, top.err()
}

// readSettings reads the platform's settings. It does not check that InstanceIndex is below Instances: a gateway also
// starts with index 3 of 3 instances, and only Migrate rejects such a file (checkIndexes).
func readSettings(top jsonObject) policy.Settings {
	requests := top.optionalObject(keyRequests)
	permissions := top.requiredObject(keyPermissions)
	invariants := top.requiredObject("invariants")
	settings := policy.Settings{
		InstanceIndex:     clampToCount(top.requiredNumber(keyInstanceIndex)),
		Instances:         clampToCount(top.requiredNumber(keyInstances)),
		Zone:              policy.ZoneID(clampToCount(top.optionalNumber(keyZone))),
		MaxAttempts:       clampToCount(permissions.requiredNumber(keyMaxAttempts)),
		Hedging:           permissions.optionalBool("second-copies"),
		Cancellation:      permissions.optionalBool(keyCancellation),
		HealthChecks:      permissions.optionalBool(keyHealthChecks),
		RetryAfter:        permissions.optionalBool("retry-after"),
		MaxRetryAfter:     permissions.optionalMilliseconds("max-retry-after-ms"),
		CounterEnabled:    requests.optionalBool("may-count"),
		CounterTimeout:    requests.optionalMilliseconds("counter-timeout-ms"),
		PostPaid:          requests.optionalBool("post-paid"),
		PollEndpoints:     top.optionalString(keyDiscovery) == discoveryOnRequest,
		PollTimeout:       invariants.optionalMilliseconds("ask-within-ms"),
		SlowStartShare:    readSlowStartShare(invariants),
		SlowStartDuration: invariants.requiredMilliseconds("warm-up-ms"),
		OverloadMultiple:  invariants.requiredNumber("tip-multiple"),
		OverloadWindow:    invariants.requiredMilliseconds("fall-ms"),
		CrossZoneCost:     top.optionalObject("prices").optionalNumber("cross-zone"),
	}
	settings.DrainGrace = readDrainGrace(invariants)
	if settings.MaxAttempts < 1 {
		permissions.recordErrorf(keyMaxAttempts, "is not above 0")
	}
	for _, row := range top.requiredRows(keyClasses) {
		settings.Classes = append(settings.Classes, readClass(row))
	}
	for _, row := range top.requiredRows(keyPlans) {
		settings.Plans = append(settings.Plans, readPlan(row))
	}
	return settings
}

func readSlowStartShare(invariants jsonObject) float64 {
	share := invariants.requiredNumber(keySlowStartShare)
	if !(share >= 0 && share <= 1) {
		invariants.recordErrorf(keySlowStartShare, "is not from 0 to 1")
	}
	return share
}

func readDrainGrace(invariants jsonObject) time.Duration {
	if !invariants.has(keyDrainGrace) {
		return defaultDrainGrace
	}
	grace := invariants.optionalMilliseconds(keyDrainGrace)
	if grace <= 0 {
		invariants.recordErrorf(keyDrainGrace, "is not above 0")
	}
	return grace
}

// readClass reads a row of the list of classes.
func readClass(row jsonObject) policy.ClassSettings {
	class := policy.ClassSettings{
		LatencyObjective: row.requiredMilliseconds("goal-time-ms"),
		Deadline:         row.requiredMilliseconds("deadline-ms"),
		LateValue:        row.optionalNumber("late-worth"),
		DedupWindow:      row.optionalMilliseconds("window-ms"),
	}
	class.Idempotency = enumValue(row, "effect", idempotencyByName)
	if class.Idempotency == policy.IdempotentWithKey {
		class.DedupScope = enumValue(row, "group", dedupScopeByName)
	}
	if row.has(keyFallbackMode) { // if the key is absent, the class falls back to the local share of the quota
		class.FallbackMode = enumValue(row, keyFallbackMode, fallbackModeByName)
	}
	if class.Deadline <= 0 {
		row.recordErrorf("deadline-ms", "is not above 0")
	}
	return class
}

// readPlan reads a row of the list of plans.
func readPlan(row jsonObject) policy.PlanSettings {
	for _, key := range nonNegativePlanKeys {
		if row.optionalNumber(key) < 0 {
			row.recordErrorf(key, "is below 0")
		}
	}
	if limit := row.optionalNumber(keyConcurrency); limit != math.Trunc(limit) {
		row.recordErrorf(keyConcurrency, "is no whole number")
	}
	return policy.PlanSettings{
		Rate:             row.requiredNumber("quota-rate"),
		Burst:            row.requiredNumber("peak-units"),
		ConcurrencyLimit: clampToCount(row.optionalNumber(keyConcurrency)),
		HardQuotaRate:    row.optionalNumber("cap-rate"),
		HardQuotaBurst:   row.optionalNumber("ceiling-burst"),
		OverQuotaValue:   row.optionalNumber("beyond-earns"),
		OverQuotaCost:    row.optionalNumber("beyond-costs"),
	}
}
