package scenario

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// deprecatedText is a scenario that uses every deprecated name, and currentText the same scenario with the current
// names. Both have the same lines.
const (
	deprecatedText = `name = "renamed"
[doors]
count = 3
[backends]
spread = 0.25
[load]
most = 70
customers = 7
spread = 2
[rules]
grace = "110ms"
drain = "1100ms"
cold_share = 0.3
warm_up = "8s"
fall_multiple = 3
fall_span = "1500ms"
[allow]
shots = 4
second_copies = false
recalls = false
probes = true
advice = false
longest_advice = "900ms"
[[profile]]
name = "calc"
effect = "numbered"
reach = "zone"
memory = "5s"
promised = "750ms"
hard_limit = "2s"
late_utility = 0.5
silence = "share"
[[profile]]
name = "read"
effect = "reissuable"
promised = "750ms"
silence = "open"
[[profile]]
name = "file"
effect = "at-most-once"
promised = "1s"
silence = "closed"
[[plan]]
name = "despacho"
rate = 8
burst = 24
parallel = 5
ceiling_rate = 16
ceiling_burst = 48
ceiling_slack = 2
beyond_earns = 0.25
beyond_costs = 0.5
[[fault]]
kind = "door-restart"
who = [0, 2]
at = "1s"
for = "500ms"
each = "10ms"
times = 2
every = "2s"
`
	currentText = `name = "renamed"
[gateways]
count = 3
[backends]
work_sigma = 0.25
[load]
max_requests = 70
tenants = 7
entry_points = 2
[rules]
deadline_grace = "110ms"
drain_grace = "1100ms"
slow_start_share = 0.3
slow_start_duration = "8s"
overload_multiple = 3
overload_window = "1500ms"
[allow]
max_attempts = 4
hedged_attempts = false
cancellation = false
health_checks = true
retry_after = false
max_retry_after = "900ms"
[[class]]
name = "calc"
idempotency = "idempotent-with-key"
dedup_scope = "zone"
dedup_window = "5s"
latency_objective = "750ms"
deadline = "2s"
late_value = 0.5
fallback = "local-share"
[[class]]
name = "read"
idempotency = "idempotent"
latency_objective = "750ms"
fallback = "fail-open"
[[class]]
name = "file"
idempotency = "non-idempotent"
latency_objective = "1s"
fallback = "fail-closed"
[[plan]]
name = "despacho"
rate = 8
burst = 24
max_concurrent = 5
hard_quota_rate = 16
hard_quota_burst = 48
hard_quota_slack = 2
over_quota_value = 0.25
over_quota_cost = 0.5
[[fault]]
kind = "gateway-restart"
targets = [0, 2]
at = "1s"
duration = "500ms"
stagger = "10ms"
repeats = 2
repeat_interval = "2s"
`
)

// parseText parses a scenario that must be valid.
func parseText(t *testing.T, text string, overrides ...string) *Scenario {
	t.Helper()
	s, err := Parse("f", []byte(text), overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestParse_DeprecatedNamesGiveSameScenario checks that a scenario with deprecated names is read like the same one
// with the current names, with a warning for each deprecated name.
func TestParse_DeprecatedNamesGiveSameScenario(t *testing.T) {
	fromDeprecated, fromCurrent := parseText(t, deprecatedText), parseText(t, currentText)
	if len(fromCurrent.Deprecations) > 0 {
		t.Errorf("warnings for current names: %v", fromCurrent.Deprecations)
	}
	warnings := ""
	for _, deprecation := range fromDeprecated.Deprecations {
		warnings += deprecation.String() + "\n"
	}
	if want := len(deprecatedNames.Keys) + len(deprecatedNames.Values); len(fromDeprecated.Deprecations) != want {
		t.Errorf("%d warnings for %d deprecated names:\n%s", len(fromDeprecated.Deprecations), want, warnings)
	}
	for _, want := range []string{
		"f:2: doors is deprecated: use gateways\n",
		"f:9: load.spread is deprecated: use load.entry_points\n",
		"f:23: allow.longest_advice is deprecated: use allow.max_retry_after\n",
		"f:24: profile is deprecated: use class\n",
		"f:26: class.effect is deprecated: use class.idempotency\n",
		"f:26: class.idempotency = \"numbered\" is deprecated: use \"idempotent-with-key\"\n",
		"f:54: fault.kind = \"door-restart\" is deprecated: use \"gateway-restart\"\n",
	} {
		if !strings.Contains(warnings, want) {
			t.Errorf("%q is missing in\n%s", want, warnings)
		}
	}
	fromDeprecated.Deprecations = nil
	if !reflect.DeepEqual(fromDeprecated, fromCurrent) {
		t.Errorf("with deprecated names\n%+v\nwith current names\n%+v", fromDeprecated, fromCurrent)
	}
	if reflect.DeepEqual(fromCurrent.Rules, defaults().Rules) ||
		reflect.DeepEqual(fromCurrent.Permissions, defaults().Permissions) {
		t.Error("the scenario has default values, so the comparison proves nothing")
	}
}

// TestParse_DeprecatedNamesInOverrides checks that overrides may use deprecated names whichever names the file uses.
func TestParse_DeprecatedNamesInOverrides(t *testing.T) {
	for _, text := range []string{deprecatedText, currentText} {
		inFile := len(parseText(t, text).Deprecations)
		s := parseText(t, text, "doors.count=4", "load.spread=1", "gateways.count=5")
		if s.Instances.Count != 5 || s.Load.EntryPoints != 1 {
			t.Errorf("%d instances, %d entry points", s.Instances.Count, s.Load.EntryPoints)
		}
		warnings := s.Deprecations[inFile:]
		if len(warnings) != 2 || warnings[0].String() != "--set doors.count=4:1: doors is deprecated: use gateways" {
			t.Errorf("%v", warnings)
		}
	}
}

func TestParse_RefusesBothNamesOfOneKey(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[doors]\ncount = 2\n[gateways]\ncount = 2\n",
			`f:14: gateways is given as "doors" in line 12 and as "gateways" here`},
		{"[load]\nentry_points = 1\nspread = 1\n",
			`f:14: load.entry_points is given as "entry_points" in line 13 and as "spread" here`},
		{"[[profile]]\nname = \"other\"\n", `f:12: class is given as "class" in line 2 and as "profile" here`},
		{"[[class]]\ndeadline = \"1s\"\nhard_limit = \"1s\"\n",
			`f:14: class[1].deadline is given as "deadline" in line 13 and as "hard_limit" here`},
	} {
		_, err := Parse("f", []byte(smallScenario+test.text))
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", test.text, err, test.want)
		}
	}
}

// TestLoad_ShippedScenariosUseNoDeprecatedNames checks that reading the shipped scenarios gives no warnings.
func TestLoad_ShippedScenariosUseNoDeprecatedNames(t *testing.T) {
	files, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(err, files)
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Error(err)
		} else if len(s.Deprecations) > 0 {
			t.Errorf("%v", s.Deprecations)
		}
	}
}
