package scenario

import (
	"fmt"

	"fawnplank/internal/tomlfile"
)

// Limits of the values of a scenario. The limits for runs on sockets are lower, because there each instance is a
// process and each backend is a listener with threads of its own.
const (
	maxDuration        = 3600 * second
	maxNumber          = 100_000_000
	maxInstances       = 5000
	maxBackends        = 50000
	maxSocketInstances = 16
	maxSocketBackends  = 64
	minMemoryMB        = 16
	minSockets         = 64
	maxRate            = 1e6
	maxUnits           = 1000
	maxSkew            = 5
	maxWorkSigma       = 3
	maxRetries         = 20
	maxRepeats         = 10000
)

// validator checks values and keeps the first error.
type validator struct {
	file *tomlfile.File
	err  error
}

// require records an error about a key unless ok is true or an error has been recorded before.
func (v *validator) require(ok bool, key, format string, args ...any) {
	if !ok && v.err == nil {
		v.err = v.file.KeyErrorf(key, format, args...)
	}
}

// requireUniqueWord requires that a name is a word and differs from all names in seen. It adds the name to seen.
func (v *validator) requireUniqueWord(name string, seen map[string]bool, key string) {
	v.require(isWord(name) && !seen[name], key, "is %q: not unique, or not a word of letters, digits and -", name)
	seen[name] = true
}

// validate returns the first error among the values. It does not check the following values, which may even be
// negative: the graces of the rules, allow.max_retry_after, the delays of counter, discovery and net, late_value of
// a class, hard_quota_slack, over_quota_value and over_quota_cost of a plan, and keys of a fault that its kind does
// not need.
func (s *Scenario) validate(file *tomlfile.File) error {
	v := &validator{file: file}
	v.require(s.Name != "", "name", "is missing")
	v.require(s.Environment == EnvironmentModel || s.Environment == EnvironmentSockets,
		"on", "is %q, not model or sockets", s.Environment)
	v.require(s.Duration > 0 && s.Duration <= maxDuration, "duration", "is not above 0 and at most 1h")
	s.validateNumbers(v)
	s.validateSockets(v)
	s.validateServices(v)
	s.validateLoad(v)
	s.validateRules(v)
	v.require(len(s.Classes) > 0, "class", "is missing: a scenario needs at least one")
	v.require(len(s.Plans) > 0, "plan", "is missing: a scenario needs at least one")
	s.validateClasses(v)
	s.validatePlans(v)
	for n, fault := range s.Faults {
		s.validateFault(v, fmt.Sprintf("fault[%d].", n), fault)
	}
	return v.err
}

func (s *Scenario) validateNumbers(v *validator) {
	for _, number := range []struct {
		key   string
		value int
	}{
		{"gateways.count", s.Instances.Count},
		{"backends.count", s.Backends.Count},
		{"backends.cores", s.Backends.Cores},
		{"backends.zones", s.Backends.Zones},
		{"backends.groups", s.Backends.Groups},
		{"load.tenants", s.Load.Tenants},
		{"load.max_requests", s.Load.MaxRequests},
		{"allow.max_attempts", s.Permissions.MaxAttempts},
		{"load.entry_points", s.Load.EntryPoints},
		{"load.connections", s.Load.MaxConnections},
	} {
		v.require(number.value >= 1, number.key, "is not at least 1")
		v.require(number.value <= maxNumber, number.key, "is above %d", maxNumber)
	}
	v.require(s.Instances.Count <= maxInstances, "gateways.count", "is above %d", maxInstances)
	v.require(s.Backends.Count <= maxBackends, "backends.count", "is above %d", maxBackends)
}

func (s *Scenario) validateSockets(v *validator) {
	if s.Environment != EnvironmentSockets {
		return
	}
	v.require(s.Instances.Count <= maxSocketInstances,
		"gateways.count", "is above %d, the limit on sockets", maxSocketInstances)
	v.require(s.Backends.Count <= maxSocketBackends,
		"backends.count", "is above %d, the limit on sockets", maxSocketBackends)
	v.require(s.Instances.MemoryMB >= minMemoryMB, "gateways.memory_mb", "is below %d", minMemoryMB)
	v.require(s.Instances.MaxSockets >= minSockets, "gateways.sockets", "is below %d", minSockets)
}

// validateServices checks the values of discovery, backends and counter, and that load.entry_points does not exceed
// the number of gateways.
func (s *Scenario) validateServices(v *validator) {
	source := s.Discovery.Source
	v.require(source == SourceHTTP || source == SourceDNS, "discovery.source", "is not http or dns")
	v.require(source != SourceDNS || s.Environment == EnvironmentSockets,
		"discovery.source", "is dns, which the model does not support")
	v.require(s.Load.EntryPoints <= s.Instances.Count, "load.entry_points", "is above gateways.count")
	v.require(s.Backends.Work > 0, "backends.work", "is not above 0")
	v.require(s.Backends.WorkSigma >= 0 && s.Backends.WorkSigma <= maxWorkSigma,
		"backends.work_sigma", "is not from 0 to %d", maxWorkSigma)
	v.require(s.Backends.MaxQueued >= 0, "backends.queue", "is below 0")
	v.require(s.Counter.Timeout > 0, "counter.timeout", "is not above 0")
	protocol := s.Counter.Protocol
	v.require(protocol == ProtocolText || protocol == ProtocolRESP, "counter.protocol", "is not text or resp")
	v.require(s.Counter.MaxRate >= 0, "counter.rate", "is below 0")
}

func (s *Scenario) validateLoad(v *validator) {
	load := &s.Load
	v.require(load.Rate > 0 && load.Rate <= maxRate, "load.rate", "is not above 0 and at most 1e6")
	v.require(load.Arrivals == ArrivalsPoisson || load.Arrivals == ArrivalsFixed,
		"load.arrivals", "is not poisson or fixed")
	v.require(load.Units >= 1 && load.Units <= maxUnits, "load.units", "is not from 1 to %d", maxUnits)
	v.require(load.Skew >= 0 && load.Skew <= maxSkew, "load.skew", "is not from 0 to %d", maxSkew)
	v.require(load.MaxRetries >= 0 && load.MaxRetries <= maxRetries, "load.retries", "is not from 0 to %d", maxRetries)
}

func (s *Scenario) validateRules(v *validator) {
	rules := &s.Rules
	v.require(rules.SlowStartShare > 0 && rules.SlowStartShare <= 1,
		"rules.slow_start_share", "is not above 0 and at most 1")
	v.require(rules.OverloadMultiple >= 1, "rules.overload_multiple", "is below 1")
	v.require(rules.SlowStartDuration >= 0, "rules.slow_start_duration", "is below 0")
	v.require(rules.OverloadWindow > 0, "rules.overload_window", "is not above 0")
}

func (s *Scenario) validateClasses(v *validator) {
	seen := map[string]bool{}
	for n, class := range s.Classes {
		path := fmt.Sprintf("class[%d].", n)
		hasKey := class.Idempotency == IdempotentWithKey
		v.requireUniqueWord(class.Name, seen, path+"name")
		v.require(idempotencySettings[class.Idempotency] != "", path+"idempotency",
			"is %q, not idempotent, idempotent-with-key or non-idempotent", class.Idempotency)
		v.require(!hasKey || scopeSettings[class.DedupScope] != "", path+"dedup_scope",
			"is %q, not all, zone or group", class.DedupScope)
		v.require(!hasKey || class.DedupWindow > 0, path+"dedup_window", "is not above 0")
		v.require(class.LatencyObjective > 0 && class.Deadline >= class.LatencyObjective,
			path+"latency_objective", "is not above 0 and at most deadline")
		v.require(class.Fallback == "" || fallbackSettings[class.Fallback] != "", path+"fallback",
			"is %q, not local-share, fail-open or fail-closed", class.Fallback)
		v.require(class.Share > 0, path+"share", "is not above 0")
	}
}

func (s *Scenario) validatePlans(v *validator) {
	seen := map[string]bool{}
	for n, plan := range s.Plans {
		path := fmt.Sprintf("plan[%d].", n)
		v.requireUniqueWord(plan.Name, seen, path+"name")
		v.require(plan.Rate >= 0, path+"rate", "is below 0")
		v.require(plan.Burst >= 0, path+"burst", "is below 0")
		v.require(plan.MaxConcurrent >= 0, path+"max_concurrent", "is below 0")
		v.require(plan.HardQuotaRate >= 0, path+"hard_quota_rate", "is below 0")
		v.require(plan.HardQuotaBurst >= 0, path+"hard_quota_burst", "is below 0")
		v.require(plan.Rate == 0 || plan.Burst > 0, path+"burst", "is not above 0")
		v.require(plan.Share > 0, path+"share", "is not above 0")
	}
}

func (s *Scenario) validateFault(v *validator, path string, fault Fault) {
	traits, isKnown := traitsByKind[fault.Kind]
	v.require(isKnown, path+"kind", "is %q, which is not a kind of fault", fault.Kind)
	v.require(fault.At >= 0 && fault.At < s.Duration, path+"at", "is not within the duration")
	v.require(!isKnown || traits.isInstant || fault.Duration > 0, path+"duration", "is not above 0")
	v.require(traits.requiredParameter != factorParameter || fault.Factor > 0, path+"factor", "is not above 0")
	v.require(traits.requiredParameter != delayParameter || fault.Delay > 0, path+"delay", "is not above 0")
	v.require(fault.Share >= 0 && fault.Share <= 1, path+"share", "is not from 0 to 1")
	v.require(fault.Stagger >= 0, path+"stagger", "is below 0")
	v.require(fault.Repeats >= 0 && fault.Repeats <= maxRepeats, path+"repeats",
		"is not from 0 to %d", maxRepeats)
	v.require(fault.Repeats <= 1 || fault.RepeatInterval > 0, path+"repeat_interval", "is not above 0")
	s.validateTargets(v, path, fault)
}

func (s *Scenario) validateTargets(v *validator, path string, fault Fault) {
	traits, isKnown := traitsByKind[fault.Kind]
	hasTargets := len(fault.Targets) > 0 || fault.Share != 0
	v.require(!isKnown || traits.targets == noTargets || len(fault.Targets) > 0 || fault.Share > 0,
		path+"targets", "is missing: targets or share is required")
	v.require(!isKnown || traits.targets != noTargets || !hasTargets,
		path+"targets", "and share do not apply to this kind")
	count := s.countOf(traits.targets)
	for _, target := range fault.Targets {
		v.require(target >= 0 && target < count, path+"targets",
			"names %d of %d %s", target, count, traits.targets)
	}
}

func isWord(text string) bool {
	for _, r := range text {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && r != '-' {
			return false
		}
	}
	return text != ""
}
