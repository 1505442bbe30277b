package scenario

import "fawnplank/internal/tomlfile"

// deprecatedNames lists the old names of keys and values that scenario files and overrides may still use. Parse
// replaces them by the new names while it decodes a text; no other code handles them.
var deprecatedNames = tomlfile.Renames{
	Keys: []tomlfile.KeyRename{
		{Table: "", Old: "doors", New: "gateways"},
		{Table: "", Old: "profile", New: "class"},

		{Table: "backends", Old: "spread", New: "work_sigma"},

		{Table: "load", Old: "most", New: "max_requests"},
		{Table: "load", Old: "customers", New: "tenants"},
		{Table: "load", Old: "spread", New: "entry_points"},

		{Table: "rules", Old: "grace", New: "deadline_grace"},
		{Table: "rules", Old: "drain", New: "drain_grace"},
		{Table: "rules", Old: "cold_share", New: "slow_start_share"},
		{Table: "rules", Old: "warm_up", New: "slow_start_duration"},
		{Table: "rules", Old: "fall_multiple", New: "overload_multiple"},
		{Table: "rules", Old: "fall_span", New: "overload_window"},

		{Table: "allow", Old: "shots", New: "max_attempts"},
		{Table: "allow", Old: "second_copies", New: "hedged_attempts"},
		{Table: "allow", Old: "recalls", New: "cancellation"},
		{Table: "allow", Old: "probes", New: "health_checks"},
		{Table: "allow", Old: "advice", New: "retry_after"},
		{Table: "allow", Old: "longest_advice", New: "max_retry_after"},

		{Table: "class", Old: "effect", New: "idempotency"},
		{Table: "class", Old: "reach", New: "dedup_scope"},
		{Table: "class", Old: "memory", New: "dedup_window"},
		{Table: "class", Old: "promised", New: "latency_objective"},
		{Table: "class", Old: "hard_limit", New: "deadline"},
		{Table: "class", Old: "late_utility", New: "late_value"},
		{Table: "class", Old: "silence", New: "fallback"},

		{Table: "plan", Old: "parallel", New: "max_concurrent"},
		{Table: "plan", Old: "ceiling_rate", New: "hard_quota_rate"},
		{Table: "plan", Old: "ceiling_burst", New: "hard_quota_burst"},
		{Table: "plan", Old: "ceiling_slack", New: "hard_quota_slack"},
		{Table: "plan", Old: "beyond_earns", New: "over_quota_value"},
		{Table: "plan", Old: "beyond_costs", New: "over_quota_cost"},

		{Table: "fault", Old: "for", New: "duration"},
		{Table: "fault", Old: "who", New: "targets"},
		{Table: "fault", Old: "each", New: "stagger"},
		{Table: "fault", Old: "times", New: "repeats"},
		{Table: "fault", Old: "every", New: "repeat_interval"},
	},
	Values: []tomlfile.ValueRename{
		{Key: "fault.kind", Old: "door-restart", New: string(InstanceRestart)},

		{Key: "class.idempotency", Old: "reissuable", New: string(Idempotent)},
		{Key: "class.idempotency", Old: "numbered", New: string(IdempotentWithKey)},
		{Key: "class.idempotency", Old: "at-most-once", New: string(NonIdempotent)},

		{Key: "class.fallback", Old: "share", New: string(LocalShare)},
		{Key: "class.fallback", Old: "open", New: string(FailOpen)},
		{Key: "class.fallback", Old: "closed", New: string(FailClosed)},
	},
}
