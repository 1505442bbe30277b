package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const old = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"counter":"127.0.0.1:6400","colour":"red","limits":{"memory_mb":96},
	"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1"}]},
	"settings":{"me": 1, "replicas-of-me": 3, "zones": ["a"], "shapes": ["m2"], "discovery": "pushed",
	"weights": "nominal", "telemetry": {"how": "on_probe", "columns": ["qps"]},
	"family-info": {"may-count": true, "counter-timeout-ms": 80},
	"permissions": {"send-cap": 3, "probes": true, "retry-after": true, "max-retry-after-ms": 1000, "turbo": 1},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000},
	"lanes": [{"name": "lookup", "goal-time-ms": 750.125, "deadline-ms": 2000, "effect": "read_like",
		"silence": "closed"}, {"name": "draft", "goal-time-ms": 1, "deadline-ms": 2, "effect": "read_like", "mood": 1}],
	"tariffs": [{"name": "team", "quota-rate": 2, "peak-units": 5}]}}`

const newShape = `{"permissions": {"retry-after": false, "second-copies": false}, "weights": "rough",
	"telemetry": {"how": "inline", "columns": ["util", "latency_ms"]}, "replicas-of-me": 90,
	"lanes": [{"name": "lookup", "goal-time-ms": 1500, "deadline-ms": 3000, "effect": "read_like"}],
	"tariffs": [{"name": "pro", "quota-rate": 4, "peak-units": 9, "parallel": 3}]}`

// files puts texts into files of a folder of their own and gives their paths, and that of one not there yet.
func files(t *testing.T, texts ...string) (paths []string, to string) {
	dir := t.TempDir()
	for n, text := range texts {
		paths = append(paths, filepath.Join(dir, string(rune('a'+n))+".json"))
		if err := os.WriteFile(paths[n], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths, filepath.Join(dir, "new.json")
}

func TestMigrationToTheNewShape(t *testing.T) {
	from, to := files(t, old, newShape)
	lines, err := Migrate(MigrateOptions{From: from[0], Shape: from[1], To: to})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"colour: not known here", "settings.lanes[1].mood: not known here",
		"settings.permissions.turbo: not known here", "settings.permissions.probes: true",
		"settings.telemetry: reports", "known: 1 backends", "settings.permissions.retry-after: true",
		`settings.lanes[1]: "draft" has no counterpart`, `settings.tariffs[0]: "team" has no counterpart`}
	if len(lines) != len(want) {
		t.Fatalf("%q", lines)
	}
	for n := range want {
		if !strings.HasPrefix(lines[n], want[n]) {
			t.Errorf("line %d is %q, not %q", n, lines[n], want[n])
		}
	}
	s, err := Read(to, Overlay{})
	if err != nil {
		t.Fatal(err)
	}
	x := s.Settings
	if x.HealthChecks || x.RetryAfter || x.Instances != 90 || x.InstanceIndex != 1 || x.Plans[s.Plans["pro"]].ConcurrencyLimit != 3 ||
		x.Classes[s.Classes["lookup"]].FallbackMode != 2 || x.Classes[0].LatencyObjective != 15e8 || s.MemoryBytes != 96<<20 ||
		s.Name != "n3" || s.Seed != 0x8c1f30d27a5be964 || len(s.KnownEndpoints) > 0 || x.MaxRetryAfter != 1e9 {
		t.Errorf("%+v", s)
	}
	if again, err := os.ReadFile(from[0]); err != nil || string(again) != old {
		t.Error("the source has changed")
	}
	// Its own output has nothing left to say, but for what the shape took out.
	if lines, err := Migrate(MigrateOptions{From: to, Shape: "", To: "", DryRun: true}); err != nil || len(lines) != 0 {
		t.Errorf("once more: %q, %v", lines, err)
	}
}

// Without a shape only what the new deployments lack goes, and numbers stay as they are written.
func TestMigrationWithoutAShape(t *testing.T) {
	from, to := files(t, strings.Replace(old, `"name":"n3","listen":"127.0.0.1:6379",`, "", 1))
	lines, err := Migrate(MigrateOptions{From: from[0], Shape: "", To: to})
	if err != nil || !slices.ContainsFunc(lines, func(l string) bool { return strings.HasPrefix(l, "listen: left out: GW_LISTEN") }) {
		t.Fatalf("%q, %v", lines, err)
	}
	text, _ := os.ReadFile(to)
	if !strings.Contains(string(text), "750.125") || !strings.Contains(string(text), `"team"`) ||
		!strings.Contains(string(text), `"probes": false`) || strings.Contains(string(text), "turbo") {
		t.Errorf("%s", text)
	}
}

func TestDryRunWritesNothing(t *testing.T) {
	from, to := files(t, old, newShape)
	dry, err := Migrate(MigrateOptions{From: from[0], Shape: from[1], To: to, DryRun: true})
	if _, e := os.Stat(to); err != nil || e == nil {
		t.Errorf("written: %v, %v", err, e)
	}
	if real, _ := Migrate(MigrateOptions{From: from[0], Shape: from[1], To: to}); !slices.Equal(dry, real) {
		t.Errorf("said %q, did %q", dry, real)
	}
}

// Whatever is wrong, the message names the file and the key, and nothing is written or changed.
func TestFaultyFilesAreNotMigrated(t *testing.T) {
	for want, x := range map[string]struct{ of, was, is string }{
		"a.json: settings: seed is no hexadecimal":                         {"old", `8c1f30d27a5be964`, `seed`},
		"a.json: settings.me comes twice":                                  {"old", `"me": 1`, `"me": 1, "me": 2`},
		"a.json: settings.zones[0]: no JSON":                               {"old", `["a"]`, `[a]`},
		"a.json: something follows":                                        {"old", `"peak-units": 5}]}}`, `"peak-units": 5}]}} {}`},
		"a.json: the file: no JSON":                                        {"old", old, ``},
		"a.json: is no JSON object":                                        {"old", old, `[]`},
		"a.json: settings: settings.tariffs[0].parallel":                   {"old", `"peak-units": 5`, `"parallel": 1.5`},
		"a.json: settings: settings.tariffs[0].quota-rate":                 {"old", `"quota-rate": 2`, `"quota-rate": -2`},
		"a.json: settings: settings.lanes[0].silence":                      {"old", `"closed"`, `"shut"`},
		"settings.discovery is sometimes":                                  {"old", `"pushed"`, `"sometimes"`},
		"settings.weights is heavy":                                        {"old", `"nominal"`, `"heavy"`},
		"b.json: weight is not known":                                      {"new", `"weights"`, `"weight"`},
		"b.json: permissions.retry is not known":                           {"new", `"retry-after"`, `"retry"`},
		"b.json: its counterpart is not in order: settings.weights is 3":   {"new", `"rough"`, `3`},
		"b.json: its counterpart is not in order: settings.me is 1, of 1":  {"new", `90`, `1`},
		"b.json: its counterpart is not in order: settings: settings.lan":  {"new", `1500`, `"soon"`},
		"b.json: its counterpart is not in order: settings: settings.tari": {"new", `"parallel": 3`, `"parallel": -3`},
	} {
		a, b := old, newShape
		if x.of == "old" {
			a = strings.Replace(a, x.was, x.is, 1)
		} else {
			b = strings.Replace(b, x.was, x.is, 1)
		}
		if a == old && b == newShape {
			t.Fatalf("%q changes nothing", want)
		}
		from, to := files(t, a, b)
		if x.of == "old" && strings.HasPrefix(want, "settings.") { // seen in the counterpart, which then is to be named
			want = "its counterpart is not in order: " + want
			b = ""
		}
		shape := from[1]
		if b == "" {
			shape = ""
		}
		if _, err := Migrate(MigrateOptions{From: from[0], Shape: shape, To: to}); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), ".json") {
			t.Errorf("%q: %v", want, err)
		}
		left, _ := filepath.Glob(filepath.Join(filepath.Dir(to), "*"))
		hidden, _ := filepath.Glob(filepath.Join(filepath.Dir(to), ".*"))
		if again, _ := os.ReadFile(from[0]); len(left) != 2 || len(hidden) != 0 || string(again) != a {
			t.Errorf("%q: left %q %q", want, left, hidden)
		}
	}
}

func TestMigrationNeverOverwrites(t *testing.T) {
	from, to := files(t, old, "mine")
	link := filepath.Join(filepath.Dir(to), "link.json")
	if err := os.Symlink(from[0], link); err != nil {
		t.Fatal(err)
	}
	for _, place := range []string{from[0], from[1], link, filepath.Join(to, "x")} {
		if _, err := Migrate(MigrateOptions{From: from[0], Shape: "", To: place}); err == nil || !strings.Contains(err.Error(), place) {
			t.Errorf("%s: %v", place, err)
		}
	}
	a, _ := os.ReadFile(from[0])
	b, _ := os.ReadFile(from[1])
	if string(a) != old || string(b) != "mine" {
		t.Error("a file was written over")
	}
}

func TestPresetsOfProfiles(t *testing.T) {
	for text, want := range map[string]int{`"effect"`: 0, `"silence": "share", "effect"`: 0,
		`"silence": "open", "effect"`: 1, `"silence": "closed", "effect"`: 2} {
		s, err := parse([]byte(strings.Replace(good, `"effect"`, text, 1)), none)
		if err != nil || int(s.Settings.Classes[0].FallbackMode) != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}
