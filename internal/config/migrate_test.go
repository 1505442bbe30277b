package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fawnplank/policy"
)

// oldConfig is a configuration of the old deployment. It contains an example of each kind of loss.
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

// newSettings are the settings of the new deployment.
const newSettings = `{"permissions": {"retry-after": false, "second-copies": false}, "weights": "rough",
	"telemetry": {"how": "inline", "columns": ["util", "latency_ms"]}, "replicas-of-me": 90,
	"lanes": [{"name": "lookup", "goal-time-ms": 1500, "deadline-ms": 3000, "effect": "read_like"}],
	"tariffs": [{"name": "pro", "quota-rate": 4, "peak-units": 9, "parallel": 3}]}`

// writeFiles writes each text to a file in a new folder. It returns their paths, and the path of a file in the same
// folder that does not exist.
func writeFiles(t *testing.T, texts ...string) (paths []string, newPath string) {
	t.Helper()
	folder := t.TempDir()
	for n, text := range texts {
		paths = append(paths, filepath.Join(folder, string(rune('a'+n))+".json"))
		if err := os.WriteFile(paths[n], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths, filepath.Join(folder, "new.json")
}

func TestMigrate_WithOverrideFile(t *testing.T) {
	inputs, output := writeFiles(t, oldConfig, newSettings)
	losses, err := Migrate(MigrateOptions{SourceFile: inputs[0], OverrideFile: inputs[1], OutputFile: output})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"paint: unknown key", "settings.lanes[1].mood: unknown key",
		"settings.permissions.turbo: unknown key", "settings.permissions.probes: true",
		"settings.telemetry: reports", "known: 1 backends", "settings.permissions.retry-after: true",
		`settings.lanes[1]: "draft" is missing from the list`,
		`settings.tariffs[0]: "team" is missing from the list`}
	if len(losses) != len(want) {
		t.Fatalf("%q", losses)
	}
	for n := range want {
		if !strings.HasPrefix(losses[n].String(), want[n]) {
			t.Errorf("loss %d is %q, not %q", n, losses[n], want[n])
		}
	}
	c, err := Read(output, Overlay{})
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
	if c.MemoryLimitBytes != 96<<20 || c.InstanceName != "n3" || c.Seed != 0x8c1f30d27a5be964 ||
		len(c.KnownEndpoints) > 0 {
		t.Errorf("%+v", c)
	}
	if source, err := os.ReadFile(inputs[0]); err != nil || string(source) != oldConfig {
		t.Error("the source file was modified")
	}
	// A second migration, of the output of the first, has no losses.
	if losses, err := Migrate(MigrateOptions{SourceFile: output, DryRun: true}); err != nil || len(losses) != 0 {
		t.Errorf("second migration: losses %q, %v", losses, err)
	}
}

// TestMigrate_WithoutOverrideFile migrates a configuration without an override file. Only keys that the new deployment
// does not support are dropped, and the notation of numbers is preserved.
func TestMigrate_WithoutOverrideFile(t *testing.T) {
	inputs, output := writeFiles(t, strings.Replace(oldConfig, `"name":"n3","listen":"127.0.0.1:6379",`, "", 1))
	losses, err := Migrate(MigrateOptions{SourceFile: inputs[0], OutputFile: output})
	namesListen := func(l Loss) bool { return strings.HasPrefix(l.String(), "listen: left out: GW_LISTEN") }
	if err != nil || !slices.ContainsFunc(losses, namesListen) {
		t.Fatalf("%q, %v", losses, err)
	}
	text, err := os.ReadFile(output)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "750.125") || !strings.Contains(string(text), `"team"`) ||
		!strings.Contains(string(text), `"probes": false`) || strings.Contains(string(text), "turbo") {
		t.Errorf("%s", text)
	}
}

func TestMigrate_DryRunWritesNothing(t *testing.T) {
	inputs, output := writeFiles(t, oldConfig, newSettings)
	planned, err := Migrate(MigrateOptions{
		SourceFile: inputs[0], OverrideFile: inputs[1], OutputFile: output, DryRun: true,
	})
	if _, statErr := os.Stat(output); err != nil || statErr == nil {
		t.Errorf("Migrate: %v; os.Stat of the output file: %v, want an error", err, statErr)
	}
	if real, _ := Migrate(MigrateOptions{
		SourceFile: inputs[0], OverrideFile: inputs[1], OutputFile: output,
	}); !slices.Equal(planned, real) {
		t.Errorf("the dry run lists losses %q, the migration %q", planned, real)
	}
}

// TestMigrate_RejectsInvalidFiles checks that for each invalid input the error names the file and the key, and that no
// file is written or modified.
func TestMigrate_RejectsInvalidFiles(t *testing.T) {
	for want, test := range map[string]struct{ file, old, replacement string }{
		"a.json: settings: seed is no hexadecimal":         {"old", `8c1f30d27a5be964`, `seed`},
		"a.json: settings.me is a duplicate key":           {"old", `"me": 1`, `"me": 1, "me": 2`},
		"a.json: settings.zones[0]: invalid JSON":          {"old", `["a"]`, `[a]`},
		"a.json: unexpected data after the JSON object":    {"old", `5}]}}`, `5}]}} {}`},
		"a.json: the file: invalid JSON":                   {"old", oldConfig, ``},
		"a.json: the top-level value is not a JSON object": {"old", oldConfig, `[]`},
		"a.json: settings: settings.tariffs[0].parallel":   {"old", `"peak-units": 5`, `"parallel": 1.5`},
		"a.json: settings: settings.tariffs[0].quota-rate": {"old", `"quota-rate": 2`, `"quota-rate": -2`},
		"a.json: settings: settings.lanes[0].silence":      {"old", `"closed"`, `"shut"`},
		"settings.discovery is sometimes":                  {"old", `"pushed"`, `"sometimes"`},
		"settings.weights is heavy":                        {"old", `"nominal"`, `"heavy"`},
		"b.json: weight is an unknown key":                 {"new", `"weights"`, `"weight"`},
		"b.json: permissions.retry is an unknown key":      {"new", `"retry-after"`, `"retry"`},
		"b.json: the migrated configuration is invalid: settings.weights is 3": {
			"new", `"rough"`, `3`,
		},
		"b.json: the migrated configuration is invalid: settings.me is 1, which is not below settings.replicas-of-me, 1": {
			"new", `90`, `1`,
		},
		"b.json: the migrated configuration is invalid: settings: settings.lan": {
			"new", `1500`, `"soon"`,
		},
		"b.json: the migrated configuration is invalid: settings: settings.tari": {
			"new", `"parallel": 3`, `"parallel": -3`,
		},
	} {
		config, overrides := oldConfig, newSettings
		if test.file == "old" {
			config = strings.Replace(config, test.old, test.replacement, 1)
		} else {
			overrides = strings.Replace(overrides, test.old, test.replacement, 1)
		}
		if config == oldConfig && overrides == newSettings {
			t.Fatalf("the replacement for %q does not match the text", want)
		}
		inputs, output := writeFiles(t, config, overrides)
		options := MigrateOptions{SourceFile: inputs[0], OverrideFile: inputs[1], OutputFile: output}
		if test.file == "old" && strings.HasPrefix(want, "settings.") {
			// These errors are found in the migrated configuration, and the message has to state that.
			want = "the migrated configuration is invalid: " + want
			options.OverrideFile = ""
		}
		_, err := Migrate(options)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), ".json") {
			t.Errorf("%q: %v", want, err)
		}
		visible, _ := filepath.Glob(filepath.Join(filepath.Dir(output), "*")) // the pattern is valid
		hidden, _ := filepath.Glob(filepath.Join(filepath.Dir(output), ".*"))
		source, err := os.ReadFile(inputs[0])
		if err != nil || len(visible) != 2 || len(hidden) != 0 || string(source) != config {
			t.Errorf("%q: files %q %q, or a modified source file, %v", want, visible, hidden, err)
		}
	}
}

func TestMigrate_NeverOverwrites(t *testing.T) {
	inputs, newPath := writeFiles(t, oldConfig, "mine")
	link := filepath.Join(filepath.Dir(newPath), "link.json")
	if err := os.Symlink(inputs[0], link); err != nil {
		t.Fatal(err)
	}
	for _, outputPath := range []string{inputs[0], inputs[1], link, filepath.Join(newPath, "x")} {
		_, err := Migrate(MigrateOptions{SourceFile: inputs[0], OutputFile: outputPath})
		if err == nil || !strings.Contains(err.Error(), outputPath) {
			t.Errorf("%s: %v", outputPath, err)
		}
	}
	for n, want := range []string{oldConfig, "mine"} {
		if text, err := os.ReadFile(inputs[n]); err != nil || string(text) != want {
			t.Errorf("%s was overwritten or cannot be read: %v", inputs[n], err)
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
