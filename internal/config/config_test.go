package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/policy"
)

const good = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:6400",
	"known":{"index":41,"snapshot":true,"endpoints":[]},
	"settings":{"me": 1, "replicas-of-me": 3, "zones": ["a"], "shapes": ["m2"], "discovery": "on_request",
	"family-info": {"may-count": true, "counter-timeout-ms": 80, "post-paid": true},
	"permissions": {"send-cap": 3, "` + cancellationKey + `": true, "conn-idle-ms": 9000, "connect-timeout-ms": 100},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000, "ask-within-ms": 5,
	"stop-sending-within-ms": 250},
	"lanes": [{"name": "lookup", "goal-time-ms": 750, "deadline-ms": 2000, "effect": "idempotency_key",
		"group": "cell", "window-ms": 5000}],
	"tariffs": [{"name": "team", "quota-rate": 2, "peak-units": 5, "parallel": 4, "cap-rate": 9}]}}`

func none(string) string { return "" }

func TestParse_ReadsEveryField(t *testing.T) {
	s, err := parse([]byte(good), none)
	if err != nil {
		t.Fatal(err)
	}
	p, plan := s.Settings.Classes[s.Classes["lookup"]], s.Settings.Plans[s.Plans["team"]]
	if s.Seed != 0x8c1f30d27a5be964 || s.MemoryBytes != 192<<20 || s.MaxSockets != 1024 || s.IdleTimeout != 9e9 ||
		s.ConnectTimeout != 1e8 || s.Settings.InstanceIndex != 1 || s.Settings.Instances != 3 || !s.Settings.PostPaid ||
		!s.Settings.PollEndpoints || s.Settings.DrainGrace != 25e7 || p.Idempotency != policy.IdempotentWithKey || p.DedupScope != policy.DedupByGroup ||
		p.Deadline != 2e9 || plan.ConcurrencyLimit != 4 || plan.HardQuotaRate != 9 || s.Zones[0] != "a" {
		t.Errorf("%+v", s)
	}
}

func TestParse_FaultNamesTheKey(t *testing.T) {
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
		text := strings.Replace(good, change[0], change[1], 1)
		if _, err := parse([]byte(text), none); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestRead_DefaultsAndEnvironment(t *testing.T) {
	text := strings.Replace(good, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1)
	text = strings.Replace(text, `"listen":"127.0.0.1:6379",`, "", 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_LISTEN", "127.0.0.9:1")
	t.Setenv("GW_NAME", "other") // the file's own word goes first
	s, err := Read("", Overlay{})
	if err != nil || s.Listen != "127.0.0.9:1" || s.Name != "n3" || s.MaxSockets != defaultMaxSockets ||
		s.MemoryBytes != defaultMemoryMB<<20 {
		t.Errorf("%+v, %v", s, err)
	}
	t.Setenv("GW_CONFIG", "")
	if _, err := Read("", Overlay{}); err == nil {
		t.Error("no file, no fault")
	}
	if _, err := Read(path+"x", Overlay{}); err == nil {
		t.Error("a missing file, no fault")
	}
}

// Each kind of broken file is turned down whole, with the key named where there is one.
func TestParse_RefusesBrokenFiles(t *testing.T) {
	for name, text := range map[string]string{
		"empty":            "",
		"cut short":        good[:len(good)/2],
		"a key missing":    strings.Replace(good, `"deadline-ms": 2000, `, "", 1),
		"deadline of 0":    strings.Replace(good, `"deadline-ms": 2000`, `"deadline-ms": 0`, 1),
		"deadline below 0": strings.Replace(good, `"deadline-ms": 2000`, `"deadline-ms": -5`, 1),
		"no attempts":      strings.Replace(good, `"send-cap": 3`, `"send-cap": 0`, 1),
		"attempts a word":  strings.Replace(good, `"send-cap": 3`, `"send-cap": "3"`, 1),
	} {
		if s, err := parse([]byte(text), none); err == nil {
			t.Errorf("%s: taken: %+v", name, s.Settings)
		}
	}
}

// A configuration read anew keeps the ids of what is unchanged; a changed or new class gets an id after all
// the old ones, whose rows stay for the transactions open under them.
func TestConfig_KeepIDs(t *testing.T) {
	old, err := parse([]byte(good), none)
	if err != nil {
		t.Fatal(err)
	}
	lanes := `"lanes": [{"name": "pay", "goal-time-ms": 500, "deadline-ms": 1000, "effect": "non_idempotent"},
		{"name": "lookup", "goal-time-ms": 750, "deadline-ms": 2000, "effect": "idempotency_key",
		"group": "cell", "window-ms": 5000}]`
	text := good[:strings.Index(good, `"lanes"`)] + lanes + good[strings.Index(good, `,
	"tariffs"`):]
	fresh, err := parse([]byte(strings.Replace(text, `"quota-rate": 2`, `"quota-rate": 3`, 1)), none)
	if err != nil {
		t.Fatal(err)
	}
	fresh.KeepIDs(old)
	if fresh.Classes["lookup"] != 0 || fresh.Classes["pay"] != 1 || len(fresh.Settings.Classes) != 2 ||
		fresh.Settings.Classes[1].Idempotency != policy.NonIdempotent {
		t.Errorf("profiles %v: %+v", fresh.Classes, fresh.Settings.Classes)
	}
	if fresh.Plans["team"] != 1 || len(fresh.Settings.Plans) != 2 || fresh.Settings.Plans[0].Rate != 2 ||
		fresh.Settings.Plans[1].Rate != 3 {
		t.Errorf("plans %v: %+v", fresh.Plans, fresh.Settings.Plans)
	}
	again, _ := parse([]byte(good), none) // back: lookup keeps 0, pay is no longer taken, its row stays
	again.KeepIDs(fresh)
	if len(again.Classes) != 1 || again.Classes["lookup"] != 0 || len(again.Settings.Classes) != 2 ||
		again.Plans["team"] != 2 || len(again.Settings.Plans) != 3 {
		t.Errorf("back: %v %v, %d and %d rows", again.Classes, again.Plans, len(again.Settings.Classes),
			len(again.Settings.Plans))
	}
}
