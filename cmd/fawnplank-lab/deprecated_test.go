package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheck_WarnsAboutDeprecatedNames checks that a scenario with deprecated names is valid, and that each deprecated
// name causes a warning.
func TestCheck_WarnsAboutDeprecatedNames(t *testing.T) {
	const text = "name = \"old\"\n[doors]\ncount = 2\n" +
		"[[profile]]\nname = \"calc\"\neffect = \"reissuable\"\npromised = \"750ms\"\n" +
		"[[plan]]\nname = \"despacho\"\nrate = 20\nburst = 40\n"
	path := filepath.Join(t.TempDir(), "old.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := execute(t, "check", path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"warning: " + path + ":2: doors is deprecated: use gateways\n",
		"warning: " + path + ":4: profile is deprecated: use class\n",
		"old: in order; model, 2 instances, ",
	} {
		if !strings.Contains(output, want) {
			t.Errorf("output lacks %q: %s", want, output)
		}
	}
	if output, err := execute(t, "check", calmScenario); err != nil || strings.Contains(output, "warning") {
		t.Errorf("scenario without deprecated names: error %v, output %s", err, output)
	}
}

// TestSweep_PrintsDeprecationWarningOnce checks that a sweep over a key under its deprecated name prints one warning,
// not one per value.
func TestSweep_PrintsDeprecationWarningOnce(t *testing.T) {
	output, err := execute(t, "sweep", calmScenario, "doors.count=2,3", "--set", "duration=1s")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(output, "doors is deprecated: use gateways") != 1 {
		t.Error(output)
	}
}

// TestRun_AcceptsDeprecatedGatewayFlag checks that --door sets the gateway's executable, that its warning names
// --gateway, and that the two flags cannot be combined.
func TestRun_AcceptsDeprecatedGatewayFlag(t *testing.T) {
	shortRun := []string{"run", calmScenario, "--on", "model", "--set", "duration=1s"}
	output, err := execute(t, append(shortRun, "--door", "fawnplank")...)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(output, "--door has been deprecated, use --gateway") {
		t.Error(output)
	}
	_, err = execute(t, append(shortRun, "--door", "a", "--gateway", "b")...)
	if err == nil || !strings.Contains(err.Error(), "[door gateway]") && !strings.Contains(err.Error(), "[gateway door]") {
		t.Error(err)
	}
	command := runCommand()
	if err := command.ParseFlags([]string{"--door", "old-build"}); err != nil {
		t.Fatal(err)
	}
	if got := command.Flag("gateway").Value.String(); got != "old-build" {
		t.Errorf("--door did not set --gateway: got %q", got)
	}
}
