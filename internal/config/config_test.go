package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnplank/policy"
)

// validConfig sets at least one field of each kind; tests replace parts of it.
const validConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:6400",
	"known":{"index":41,"snapshot":true,"endpoints":[]},
	"settings":{"me": 1, "replicas-of-me": 3, "zones": ["a"], "shapes": ["m2"], "discovery": "on_request",
	"family-info": {"may-count": true, "counter-timeout-ms": 80, "post-paid": true},
	"permissions": {"send-cap": 3, "` + keyCancellation + `": true, "conn-idle-ms": 9000, "connect-timeout-ms": 100},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000, "ask-within-ms": 5,
	"stop-sending-within-ms": 250},
	"lanes": [{"name": "lookup", "goal-time-ms": 750, "deadline-ms": 2000, "effect": "idempotency_key",
		"group": "cell", "window-ms": 5000}],
	"tariffs": [{"name": "team", "quota-rate": 2, "peak-units": 5, "parallel": 4, "cap-rate": 9}]}}`

// emptyEnvironment is an environment without variables.
func emptyEnvironment(string) string { return "" }

// parseValid parses a configuration and fails the test if it is invalid.
func parseValid(t *testing.T, text string) *Config {
	t.Helper()
	c, err := parse([]byte(text), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParse_ReadsFields(t *testing.T) {
	c := parseValid(t, validConfig)
	class := c.Settings.Classes[c.Classes["lookup"]]
	plan := c.Settings.Plans[c.Plans["team"]]
	for _, field := range []struct {
		name      string
		got, want any
	}{
		{"seed", c.Seed, uint64(0x8c1f30d27a5be964)},
		{"memory", c.MemoryLimitBytes, int64(192 << 20)},
		{"sockets", c.MaxSockets, 1024},
		{"zone", c.Zones[0], "a"},
		{"idle timeout", c.IdleTimeout, 9 * time.Second},
		{"connect timeout", c.ConnectTimeout, 100 * time.Millisecond},
		{"instance", c.Settings.InstanceIndex, 1},
		{"instances", c.Settings.Instances, 3},
		{"post-paid", c.Settings.PostPaid, true},
		{"poll", c.Settings.PollEndpoints, true},
		{"drain grace", c.Settings.DrainGrace, 250 * time.Millisecond},
		{"class's idempotency", class.Idempotency, policy.IdempotentWithKey},
		{"class's dedup scope", class.DedupScope, policy.DedupByGroup},
		{"class's deadline", class.Deadline, 2 * time.Second},
		{"plan's concurrency", plan.ConcurrencyLimit, 4},
		{"plan's hard quota", plan.HardQuotaRate, 9.0},
	} {
		if field.got != field.want {
			t.Errorf("%s is %v, want %v", field.name, field.got, field.want)
		}
	}
}

func TestParse_ErrorNamesKey(t *testing.T) {
	for want, change := range map[string][2]string{
		"no JSON object":                 {`{"name"`, `["name"`},
		"name is missing":                {`"name":"n3",`, ``},
		"name is of the wrong type":      {`"name":"n3"`, `"name":3`},
		"listen is \"nowhere\"":          {`"listen":"127.0.0.1:6379"`, `"listen":"nowhere"`},
		"discovery is missing":           {`"discovery":"127.0.0.1:8500",`, ``},
		"counter is missing":             {`"counter":"127.0.0.1:6400",`, ``},
		"seed is no hexadecimal":         {`8c1f30d27a5be964`, `seed`},
		"limits.sockets is below":        {`"sockets":1024`, `"sockets":8`},
		"limits.memory_mb is not above":  {`"memory_mb":192`, `"memory_mb":0`},
		"settings is missing":            {`"settings"`, `"setting"`},
		"settings.me is missing":         {`"me": 1,`, ``},
		"settings.lanes[0].effect is":    {`idempotency_key`, `twice`},
		"settings.lanes[0].group is":     {`"cell"`, `"town"`},
		"settings.lanes[0].name is miss": {`"name": "lookup",`, ``},
		"settings.tariffs[0].quota-rate": {`"quota-rate": 2`, `"quota-rate": "x"`},
		"settings.zones[0] is no text":   {`["a"]`, `[4]`},
		"within-ms is not above 0":       {`within-ms": 250`, `within-ms": 0`},
		"settings.permissions.conn-idle": {`"conn-idle-ms": 9000`, `"conn-idle-ms": -1`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		_, err := parse([]byte(text), emptyEnvironment)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
		if want == "no JSON object" {
			continue
		}
		if settingErr, ok := errors.AsType[*SettingError](err); !ok || settingErr.Key == "" || settingErr.Problem == "" {
			t.Errorf("%q: %v is not a SettingError with a key and a problem", want, err)
		}
	}
}

func TestRead_AppliesDefaultsAndEnvironment(t *testing.T) {
	text := strings.Replace(validConfig, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1)
	text = strings.Replace(text, `"listen":"127.0.0.1:6379",`, "", 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_LISTEN", "127.0.0.9:1")
	t.Setenv("GW_NAME", "other") // the name in the file takes precedence
	c, err := Read("", Overlay{})
	if err != nil || c.Listen != "127.0.0.9:1" || c.InstanceName != "n3" || c.MaxSockets != defaultMaxSockets ||
		c.MemoryLimitBytes != defaultMemoryMebibytes<<20 {
		t.Errorf("%+v, %v", c, err)
	}
	t.Setenv("GW_CONFIG", "")
	if _, err := Read("", Overlay{}); !errors.Is(err, ErrNoFile) {
		t.Errorf("without a file: %v, want ErrNoFile", err)
	}
	if _, err := Read(path+"x", Overlay{}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v, want ErrNotExist", err)
	}
}

// TestParse_RejectsInvalidConfiguration checks that a configuration with any invalid part is rejected as a whole.
func TestParse_RejectsInvalidConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"empty":                "",
		"truncated text":       validConfig[:len(validConfig)/2],
		"missing key":          strings.Replace(validConfig, `"deadline-ms": 2000, `, "", 1),
		"deadline of 0":        strings.Replace(validConfig, `"deadline-ms": 2000`, `"deadline-ms": 0`, 1),
		"deadline below 0":     strings.Replace(validConfig, `"deadline-ms": 2000`, `"deadline-ms": -5`, 1),
		"max attempts of 0":    strings.Replace(validConfig, `"send-cap": 3`, `"send-cap": 0`, 1),
		"max attempts as text": strings.Replace(validConfig, `"send-cap": 3`, `"send-cap": "3"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			if c, err := parse([]byte(text), emptyEnvironment); err == nil {
				t.Errorf("the configuration was accepted: %+v", c.Settings)
			}
		})
	}
}

// TestConfig_KeepIDsOfUnchangedRows reloads a configuration. Unchanged rows keep their ids. A changed or new row gets
// an id after all old ids; the old rows stay, because requests in flight use them.
func TestConfig_KeepIDsOfUnchangedRows(t *testing.T) {
	old := parseValid(t, validConfig)
	classes := `"lanes": [{"name": "pay", "goal-time-ms": 500, "deadline-ms": 1000, "effect": "non_idempotent"},
		{"name": "lookup", "goal-time-ms": 750, "deadline-ms": 2000, "effect": "idempotency_key",
		"group": "cell", "window-ms": 5000}]`
	beforeClasses := validConfig[:strings.Index(validConfig, `"lanes"`)]
	afterClasses := validConfig[strings.Index(validConfig, `,
	"tariffs"`):]
	text := beforeClasses + classes + afterClasses
	reloaded := parseValid(t, strings.Replace(text, `"quota-rate": 2`, `"quota-rate": 3`, 1))
	reloaded.KeepIDs(old)
	if reloaded.Classes["lookup"] != 0 || reloaded.Classes["pay"] != 1 || len(reloaded.Settings.Classes) != 2 ||
		reloaded.Settings.Classes[1].Idempotency != policy.NonIdempotent {
		t.Errorf("classes %v: %+v", reloaded.Classes, reloaded.Settings.Classes)
	}
	if reloaded.Plans["team"] != 1 || len(reloaded.Settings.Plans) != 2 || reloaded.Settings.Plans[0].Rate != 2 ||
		reloaded.Settings.Plans[1].Rate != 3 {
		t.Errorf("plans %v: %+v", reloaded.Plans, reloaded.Settings.Plans)
	}

	restored := parseValid(t, validConfig) // lookup keeps id 0; the name pay is removed, but its row stays
	restored.KeepIDs(reloaded)
	if len(restored.Classes) != 1 || restored.Classes["lookup"] != 0 || len(restored.Settings.Classes) != 2 ||
		restored.Plans["team"] != 2 || len(restored.Settings.Plans) != 3 {
		t.Errorf("restored configuration: %v %v, %d and %d rows", restored.Classes, restored.Plans,
			len(restored.Settings.Classes), len(restored.Settings.Plans))
	}
}

// TestParse_RejectsNull guards against a panic for a file that contains only null, with GW_NAME set.
func TestParse_RejectsNull(t *testing.T) {
	environment := func(name string) string {
		if name == "GW_NAME" {
			return "n1"
		}
		return ""
	}
	if _, err := parse([]byte("null"), environment); err == nil || !strings.Contains(err.Error(), "no JSON object") {
		t.Errorf("%v", err)
	}
	if _, err := ParseSettings([]byte("null")); err == nil || !strings.Contains(err.Error(), "no JSON object") {
		t.Errorf("settings: %v", err)
	}
}

// TestParse_RejectsDuplicateAndEmptyNames guards against a plan or class that requests cannot refer to, or that gets
// the wrong name. Two rows of one name, and a row with an empty name, used to be accepted; after a reload, the first of
// two rows of one name had the name "".
func TestParse_RejectsDuplicateAndEmptyNames(t *testing.T) {
	const (
		class = `{"name": "lookup", "goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like"}`
		plan  = `{"name": "team", "quota-rate": 2, "peak-units": 5}`
	)
	for want, change := range map[string][2]string{
		`settings.tariffs[1].name is "team", which row 0 already uses`: {`"tariffs": [`, `"tariffs": [` + plan + ","},
		`settings.lanes[1].name is "lookup", which row 0 already uses`: {`"lanes": [`, `"lanes": [` + class + ","},
		`settings.tariffs[0].name is empty`:                            {`"name": "team"`, `"name": ""`},
		`settings.lanes[0].name is empty`:                              {`"name": "lookup"`, `"name": ""`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		if _, err := parse([]byte(text), emptyEnvironment); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if err := CheckRow("", []byte(`{"name":""}`)); err == nil {
		t.Error("a row of the store with an empty name is accepted")
	}
}

// TestParse_ReportsNestedUnknownKeys guards against a limit that is silently not enforced because its key is
// misspelled. Unknown keys below the top level, such as those of a plan, used to be accepted without a report.
func TestParse_ReportsNestedUnknownKeys(t *testing.T) {
	text := strings.NewReplacer(`"parallel"`, `"paralle"`, `"send-cap": 3`, `"send-cap": 3, "retry-afer": true`,
		`"sockets":1024`, `"sockets":1024, "soket": 1`, `"listen"`, `"lisen": 1, "listen"`).Replace(validConfig)
	want := "limits.soket, lisen, settings.permissions.retry-afer, settings.tariffs[0].paralle"
	if got := strings.Join(parseValid(t, text).UnknownKeys, ", "); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if got := parseValid(t, validConfig).UnknownKeys; len(got) > 0 {
		t.Errorf("unknown keys of a valid file: %v, want none", got)
	}
}

// TestParse_RejectsSlowStartShareOutOfRange guards against a slow start that sends a backend no traffic or all traffic.
// A share below 0 or above 1 used to be accepted.
func TestParse_RejectsSlowStartShareOutOfRange(t *testing.T) {
	for _, share := range []string{"-1", "1.5"} {
		text := strings.Replace(validConfig, `"cold-share": 0.2`, `"cold-share": `+share, 1)
		want := "settings.invariants.cold-share is not from 0 to 1"
		if _, err := parse([]byte(text), emptyEnvironment); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", share, err)
		}
	}
}
