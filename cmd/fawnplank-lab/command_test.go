package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

const calmScenario = "../../lab/scenarios/calm.toml"

// execute runs a command line and returns its output, including that to stderr.
func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	root := rootCommand()
	root.SetOut(&output)
	root.SetErr(&output)
	root.SetArgs(args)
	err := root.ExecuteContext(t.Context())
	return output.String(), err
}

// TestRootCommand_KeepsNamesAndFlags compares the names of all commands and flags with a list. Scripts depend on these
// names.
func TestRootCommand_KeepsNamesAndFlags(t *testing.T) {
	want := map[string]string{
		"accounts":  "clients span",
		"check":     "",
		"load":      "on output seed set to",
		"report":    "output",
		"run":       "gateway label logs on output plot seed set",
		"stand-ins": "dir on seed set stay",
		"sweep":     "on output parallel seed set",
		"zone":      "output sizes span updates",
	}
	commands := rootCommand().Commands()
	if len(commands) != len(want) {
		t.Errorf("%d commands, want %d", len(commands), len(want))
	}
	for _, command := range commands {
		var flags []string
		for _, line := range strings.Split(command.Flags().FlagUsages(), "\n") {
			if _, after, ok := strings.Cut(line, "--"); ok {
				flags = append(flags, strings.Fields(after)[0])
			}
		}
		if got := strings.Join(flags, " "); got != want[command.Name()] {
			t.Errorf("%s: flags %q, want %q", command.Name(), got, want[command.Name()])
		}
	}
}

// TestCheck_PrintsOneLinePerScenario checks that the command prints one line for a valid scenario.
func TestCheck_PrintsOneLinePerScenario(t *testing.T) {
	output, err := execute(t, "check", calmScenario)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(output, "calm: in order; sockets, ") || strings.Count(output, "\n") != 1 {
		t.Errorf("%q", output)
	}
}

// TestRun_WritesResultsAndPicture runs a scenario and checks the printed table, the results file, the plot, and that
// the report command reads the results file.
func TestRun_WritesResultsAndPicture(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "run.json")
	picture := filepath.Join(folder, "run.svg")
	output, err := execute(t, "run", calmScenario, "--on", "model", "--set", "duration=2s", "--seed", "7",
		"--label", "trial", "-o", file, "--plot", picture)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"trial", " events in ", "seed 7"} {
		if !strings.Contains(output, text) {
			t.Errorf("output lacks %q: %s", text, output)
		}
	}
	run, err := results.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	if run.Label != "trial" || run.Seed != 7 || run.Total.Succeeded == 0 {
		t.Errorf("results file: label %q, seed %d, total %+v", run.Label, run.Seed, run.Total)
	}
	if info, err := os.Stat(picture); err != nil || info.Size() == 0 {
		t.Errorf("plot is missing or empty: %v", err)
	}
	if output, err := execute(t, "report", file, file); err != nil || !strings.Contains(output, "trial") {
		t.Errorf("report: error %v, output %s", err, output)
	}
}

// TestSweep_ListsRunsInOrderOfValues checks that the table has one run for each value, in the order of the values.
func TestSweep_ListsRunsInOrderOfValues(t *testing.T) {
	output, err := execute(t, "sweep", calmScenario, "gateways.count=2,3,4", "--set", "duration=1s")
	if err != nil {
		t.Fatal(err)
	}
	const want = "run calm, gateways.count=2 calm, gateways.count=3 calm, gateways.count=4"
	header, _, _ := strings.Cut(output, "\n")
	if got := strings.Join(strings.Fields(header), " "); got != want {
		t.Errorf("table header %q, want %q", got, want)
	}
}

// TestCommands_RejectWrongArguments checks that the error for an invalid argument names that argument.
func TestCommands_RejectWrongArguments(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"missing scenario file", []string{"check", "none.toml"}, "none.toml"},
		{"load without addresses", []string{"load", calmScenario}, `"to" not set`},
		{"load to an address outside loopback", []string{"load", calmScenario, "--to", "192.0.2.1:1"}, "--to 192.0.2.1:1"},
		{"stand-ins without --dir", []string{"stand-ins", calmScenario}, `"dir" not set`},
		{"stand-ins with --stay above the maximum", []string{"stand-ins", calmScenario, "--dir", "d", "--stay", "2h"}, "2h"},
		{"sweep without values", []string{"sweep", calmScenario, "gateways.count"}, `"gateways.count"`},
		{"sweep with an invalid value", []string{"sweep", calmScenario, "gateways.count=2,x"}, "gateways.count"},
		{"zone without backends", []string{"zone", "--sizes", "0"}, "--sizes: 0"},
		{"report of too many runs", []string{"report", "1", "2", "3", "4", "5"}, "between 1 and 4"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := execute(t, test.args...)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v", err)
			}
		})
	}
}

// TestScenarioFlags_OnAndSeedTakePrecedence checks that --on and --seed override --set, as do the overrides of the
// command.
func TestScenarioFlags_OnAndSeedTakePrecedence(t *testing.T) {
	flags := scenarioFlags{environment: "model", seed: 9, set: []string{"seed=3", "on=sockets", "gateways.count=5"}}
	s, err := flags.read(calmScenario, "gateways.count=4")
	if err != nil {
		t.Fatal(err)
	}
	if s.Environment != scenario.EnvironmentModel || s.Seed != 9 || s.Instances.Count != 4 {
		t.Errorf("environment %v, seed %d, %d instances", s.Environment, s.Seed, s.Instances.Count)
	}
}

func TestIsLoopback_AcceptsOnlyLoopbackAddresses(t *testing.T) {
	for address, want := range map[string]bool{
		"127.0.0.1:1": true, "127.9.0.1:1": true, "[::1]:1": true, "localhost:1": true,
		"10.0.0.1:1": false, "[::2]:1": false, "example.org:1": false, "": false,
	} {
		if got := isLoopback(address); got != want {
			t.Errorf("isLoopback(%q) returned %v", address, got)
		}
	}
}
