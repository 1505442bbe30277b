package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fawnplank/policy"
)

// oldConfig is one of the old deployment, with something of each kind that is not carried over.
const oldConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"counter":"127.0.0.1:6400","paint":"red","limits":{"memory_mb":96},
	"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1"}]},
	"settings":{"me": 1, "replicas-of-me": 3, "zones": ["a"], "shapes": ["m2"], "discovery": "pushed",
	"weights": "nominal", "telemetry": {"how": "on_probe", "columns": ["qps"]},
	"family-info": {"may-count": true, "counter-timeout-ms": 80},
	"permissions": {"send-cap": 3, "probes": true, "retry-after": true, "max-retry-after-ms": 1000, "turbo": 1},
	"invariants": {"cold-share": 0.2, "warm-up-ms": 9000, "tip-multiple": 2, "fall-ms": 1000},
	"lanes": [{"name": "lookup", "goal-time-ms": 750.125, "deadline-ms": 2000, "effect": "read_like",
		"silence": "closed"}, {"name": "draft", "goal-time-ms": 1, "deadline-ms": 2, "effect": "read_like", "mood": 1}],
	"tariffs": [{"name": "team", "quota-rate": 2, "peak-units": 5}]}}`

// newShape are the settings of the new deployment.
const newShape = `{"permissions": {"retry-after": false, "second-copies": false}, "weights": "rough",
	"telemetry": {"how": "inline", "columns": ["util", "latency_ms"]}, "replicas-of-me": 90,
	"lanes": [{"name": "lookup", "goal-time-ms": 1500, "deadline-ms": 3000, "effect": "read_like"}],
	"tariffs": [{"name": "pro", "quota-rate": 4, "peak-units": 9, "parallel": 3}]}`

// files puts texts into files of a folder of their own and gives their paths, and that of one not there yet.
func files(t *testing.T, texts ...string) (paths []string, to string) {
	t.Helper()
	dir := t.TempDir()
	for n, text := range texts {
		paths = append(paths, filepath.Join(dir, string(rune('a'+n))+".json"))
		if err := os.WriteFile(paths[n], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths, filepath.Join(dir, "new.json")
}

func TestMigrate_ToTheNewShape(t *testing.T) {
	from, to := files(t, oldConfig, newShape)
	losses, err := Migrate(MigrateOptions{SourceFile: from[0], OverrideFile: from[1], OutputFile: to})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"paint: not known here", "settings.lanes[1].mood: not known here",
		"settings.permissions.turbo: not known here", "settings.permissions.probes: true",
		"settings.telemetry: reports", "known: 1 backends", "settings.permissions.retry-after: true",
		`settings.lanes[1]: "draft" has no counterpart`, `settings.tariffs[0]: "team" has no counterpart`}
	if len(losses) != len(want) {
		t.Fatalf("%q", losses)
	}
	for n := range want {
		if !strings.HasPrefix(losses[n].String(), want[n]) {
			t.Errorf("loss %d is %q, not %q", n, losses[n], want[n])
		}
	}
	c, err := Read(to, Overlay{})
	if err != nil {
		t.Fatal(err)
	}
	settings := c.Settings
	if settings.HealthChecks || settings.RetryAfter || settings.Instances != 90 || settings.InstanceIndex != 1 ||
		settings.Plans[c.Plans["pro"]].ConcurrencyLimit != 3 || settings.MaxRetryAfter != 1e9 ||
		settings.Classes[c.Classes["lookup"]].FallbackMode != policy.FailClosed ||
		settings.Classes[0].LatencyObjective != 15e8 {
		t.Errorf("%+v", settings)
	}
	if c.MemoryLimitBytes != 96<<20 || c.InstanceName != "n3" || c.Seed != 0x8c1f30d27a5be964 || len(c.KnownEndpoints) > 0 {
		t.Errorf("%+v", c)
	}
	if again, err := os.ReadFile(from[0]); err != nil || string(again) != oldConfig {
		t.Error("the source has changed")
	}
	// Its own output has nothing left to say, but for what the shape took out.
	if losses, err := Migrate(MigrateOptions{SourceFile: to, DryRun: true}); err != nil || len(losses) != 0 {
		t.Errorf("once more: %q, %v", losses, err)
	}
}

// TestMigrate_WithoutAShape: without a shape only what the new deployments lack goes, and numbers stay as
// they are written.
func TestMigrate_WithoutAShape(t *testing.T) {
	from, to := files(t, strings.Replace(oldConfig, `"name":"n3","listen":"127.0.0.1:6379",`, "", 1))
	losses, err := Migrate(MigrateOptions{SourceFile: from[0], OutputFile: to})
	namesListen := func(l Loss) bool { return strings.HasPrefix(l.String(), "listen: left out: GW_LISTEN") }
	if err != nil || !slices.ContainsFunc(losses, namesListen) {
		t.Fatalf("%q, %v", losses, err)
	}
	text, err := os.ReadFile(to)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "750.125") || !strings.Contains(string(text), `"team"`) ||
		!strings.Contains(string(text), `"probes": false`) || strings.Contains(string(text), "turbo") {
		t.Errorf("%s", text)
	}
}

func TestMigrate_DryRunWritesNothing(t *testing.T) {
	from, to := files(t, oldConfig, newShape)
	dry, err := Migrate(MigrateOptions{SourceFile: from[0], OverrideFile: from[1], OutputFile: to, DryRun: true})
	if _, e := os.Stat(to); err != nil || e == nil {
		t.Errorf("written: %v, %v", err, e)
	}
	if real, _ := Migrate(MigrateOptions{SourceFile: from[0], OverrideFile: from[1], OutputFile: to}); !slices.Equal(dry, real) {
		t.Errorf("said %q, did %q", dry, real)
	}
}

// TestMigrate_RefusesFaultyFiles: whatever is wrong, the message names the file and the key, and nothing is
// written or changed.
func TestMigrate_RefusesFaultyFiles(t *testing.T) {
	for want, x := range map[string]struct{ of, was, is string }{
		"a.json: settings: seed is no hexadecimal":                         {"old", `8c1f30d27a5be964`, `seed`},
		"a.json: settings.me comes twice":                                  {"old", `"me": 1`, `"me": 1, "me": 2`},
		"a.json: settings.zones[0]: no JSON":                               {"old", `["a"]`, `[a]`},
		"a.json: something follows":                                        {"old", `5}]}}`, `5}]}} {}`},
		"a.json: the file: no JSON":                                        {"old", oldConfig, ``},
		"a.json: is no JSON object":                                        {"old", oldConfig, `[]`},
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
		config, shape := oldConfig, newShape
		if x.of == "old" {
			config = strings.Replace(config, x.was, x.is, 1)
		} else {
			shape = strings.Replace(shape, x.was, x.is, 1)
		}
		if config == oldConfig && shape == newShape {
			t.Fatalf("%q changes nothing", want)
		}
		from, to := files(t, config, shape)
		options := MigrateOptions{SourceFile: from[0], OverrideFile: from[1], OutputFile: to}
		if x.of == "old" && strings.HasPrefix(want, "settings.") {
			// The fault is seen in the counterpart, which then is to be named.
			want = "its counterpart is not in order: " + want
			options.OverrideFile = ""
		}
		_, err := Migrate(options)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), ".json") {
			t.Errorf("%q: %v", want, err)
		}
		left, _ := filepath.Glob(filepath.Join(filepath.Dir(to), "*")) // the pattern is in order
		hidden, _ := filepath.Glob(filepath.Join(filepath.Dir(to), ".*"))
		again, err := os.ReadFile(from[0])
		if err != nil || len(left) != 2 || len(hidden) != 0 || string(again) != config {
			t.Errorf("%q: left %q %q, %v", want, left, hidden, err)
		}
	}
}

func TestMigrate_NeverOverwrites(t *testing.T) {
	from, to := files(t, oldConfig, "mine")
	link := filepath.Join(filepath.Dir(to), "link.json")
	if err := os.Symlink(from[0], link); err != nil {
		t.Fatal(err)
	}
	for _, place := range []string{from[0], from[1], link, filepath.Join(to, "x")} {
		_, err := Migrate(MigrateOptions{SourceFile: from[0], OutputFile: place})
		if err == nil || !strings.Contains(err.Error(), place) {
			t.Errorf("%s: %v", place, err)
		}
	}
	for n, want := range []string{oldConfig, "mine"} {
		if text, err := os.ReadFile(from[n]); err != nil || string(text) != want {
			t.Errorf("%s was written over, or cannot be read: %v", from[n], err)
		}
	}
}

func TestParse_FallbackModes(t *testing.T) {
	for setting, want := range map[string]policy.FallbackMode{
		``:                      policy.LocalShare,
		`"silence": "share", `:  policy.LocalShare,
		`"silence": "open", `:   policy.FailOpen,
		`"silence": "closed", `: policy.FailClosed,
	} {
		text := strings.Replace(validConfig, `"effect"`, setting+`"effect"`, 1)
		c, err := parse([]byte(text), emptyEnvironment)
		if err != nil || c.Settings.Classes[0].FallbackMode != want {
			t.Errorf("%q: %v, want %v", setting, err, want)
		}
	}
}
