package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/policy"
)

const smallScenario = `name = "x"
[[class]]
name = "calc"
idempotency = "idempotent-with-key"
dedup_scope = "group"
dedup_window = "5s"
latency_objective = "750ms"
[[plan]]
name = "despacho"
rate = 8
burst = 24
`

func TestLoad_ShippedScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 5 {
		t.Fatalf("%d scenarios", len(files))
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Error(err)
		} else if s.Name+".toml" != filepath.Base(file) {
			t.Errorf("%s is called %s", file, s.Name)
		}
	}
}

func TestLoad_MissingFile(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// TestParse_ErrorsNameLineAndKey checks the errors for faulty texts and overrides. The texts are appended to the
// small scenario, which has 11 lines.
func TestParse_ErrorsNameLineAndKey(t *testing.T) {
	const hang = "[[fault]]\nkind = \"backend-hang\"\nat = \"1s\"\n"
	for _, test := range []struct{ text, override, want string }{
		{"", "load.rate=0", "load.rate is not above 0"},
		{"[load]\nrate = 0\n", "", "f:13: load.rate is not above 0"},
		{"[load]\nspeed = 1\n", "", "f:13: unknown key load.speed"},
		{"[gateways]\ncount = \"two\"\n", "", "f:13: "},
		{"[gateways]\ncount = 2\ncount = 3\n", "", "f:14: gateways.count stands twice"},
		{"[net]\ndelay = \"soon\"\n", "", "f:13: "},
		{"[[fault]]\nkind = \"backend-melts\"\nat = \"1s\"\n", "",
			"f:13: fault[0].kind is \"backend-melts\""},
		{hang + "targets = [0]\n", "", "fault[0].duration is not above 0"},
		{hang + "duration = \"1s\"\n", "", "fault[0].targets is missing"},
		{hang + "duration = \"1s\"\ntargets = [4]\n", "", "f:16: fault[0].targets names 4 of 4 backends"},
		{"[[fault]]\nkind = \"backend-slow\"\nat = \"1s\"\nduration = \"1s\"\ntargets = [0]\n", "",
			"fault[0].factor is not above 0"},
		{"[[fault]]\nkind = \"counter-slow\"\nat = \"1s\"\nduration = \"1s\"\n", "",
			"fault[0].delay is not above 0"},
		{"[[fault]]\nkind = \"counter-empty\"\nat = \"99s\"\n", "", "fault[0].at is not within"},
		{"[[class]]\nname = \"calc\"\nidempotency = \"idempotent\"\nlatency_objective = \"1s\"\n", "",
			"class[1].name is \"calc\""},
		{"[[class]]\nname = \"other\"\nidempotency = \"odd\"\nlatency_objective = \"1s\"\n", "",
			"f:14: class[1].idempotency is \"odd\""},
		{"[[plan]]\nname = \"other\"\nrate = 3\n", "", "plan[1].burst is not above 0"},
		{"[[plan]]\nname = \"other\"\nrate = -1\n", "", "f:14: plan[1].rate is below 0"},
		{"[[plan]]\nname = \"other\"\nburst = -1\n", "", "f:14: plan[1].burst is below 0"},
		{"[[plan]]\nname = \"other\"\nmax_concurrent = -1\n", "", "f:14: plan[1].max_concurrent is below 0"},
		{"[[plan]]\nname = \"other\"\nhard_quota_rate = -1\n", "",
			"f:14: plan[1].hard_quota_rate is below 0"},
		{"[[plan]]\nname = \"other\"\nhard_quota_burst = -1\n", "",
			"f:14: plan[1].hard_quota_burst is below 0"},
		{"[rules]\nslow_start_duration = \"-1s\"\n", "", "f:13: rules.slow_start_duration is below 0"},
		{"[rules]\noverload_window = \"0s\"\n", "", "f:13: rules.overload_window is not above 0"},
		{"[load]\ntenants = 0\n", "", "f:13: load.tenants is not at least 1"},
		{"[load]\ntenants = 100000001\n", "", "f:13: load.tenants is above 100000000"},
		{"[load]\nrate = 5\n", "load.rate=0", "f:13: load.rate is not above 0"},
		{"", "on=sky", "on is \"sky\""},
		{"", "rate", "key=value"},
		{"", "load.speed=3", "unknown key load.speed"},
	} {
		var overrides []string
		if test.override != "" {
			overrides = []string{test.override}
		}
		_, err := Parse("f", []byte(smallScenario+test.text), overrides...)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q %q: %v, want %q", test.text, test.override, err, test.want)
		}
	}
	if _, err := Parse("f", []byte(smallScenario[:40])); err == nil {
		t.Error("a truncated scenario was accepted")
	}
}

// TestParse_BoundsInstancesOnSockets checks that the limit of instances on sockets does not apply to the model.
func TestParse_BoundsInstancesOnSockets(t *testing.T) {
	if _, err := Parse("f", []byte(smallScenario), "gateways.count=17"); err != nil {
		t.Error(err)
	}
	_, err := Parse("f", []byte("on = \"sockets\"\n"+smallScenario), "gateways.count=17")
	if err == nil || !strings.Contains(err.Error(), "gateways.count is above 16") {
		t.Error(err)
	}
}

// TestScenario_EngineSettings checks that the gateway's parser reads the values of a scenario.
func TestScenario_EngineSettings(t *testing.T) {
	s, err := Parse("f", []byte(smallScenario), "gateways.count=3", "backends.zones=2")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := s.EngineSettings(1)
	if err != nil {
		t.Fatal(err)
	}
	class := policy.ClassSettings{
		Idempotency:      policy.IdempotentWithKey,
		DedupScope:       policy.DedupByGroup,
		DedupWindow:      5e9,
		LatencyObjective: 750e6,
		Deadline:         1500e6,
	}
	isSecondOfThree := settings.InstanceIndex == 1 && settings.Instances == 3
	if !isSecondOfThree || settings.Zone != 1 || !settings.CounterEnabled {
		t.Errorf("%+v", settings)
	}
	plan := policy.PlanSettings{Rate: 8, Burst: 24}
	if settings.Classes[0] != class || settings.Plans[0] != plan || settings.SlowStartDuration != 9e9 {
		t.Errorf("%+v", settings)
	}
}
