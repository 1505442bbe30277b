package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/policy"
)

const small = `name = "x"
[[profile]]
name = "calc"
effect = "numbered"
reach = "group"
memory = "5s"
promised = "750ms"
[[plan]]
name = "despacho"
rate = 8
burst = 24
`

func TestShippedScenariosAreInOrder(t *testing.T) {
	files, _ := filepath.Glob("../../../lab/scenarios/*.toml")
	if len(files) < 5 {
		t.Fatalf("%d scenarios", len(files))
	}
	for _, f := range files {
		s, err := Load(f)
		if err != nil {
			t.Error(err)
		} else if s.Name+".toml" != filepath.Base(f) {
			t.Errorf("%s is called %s", f, s.Name)
		}
	}
}

func TestFaultsNameLineAndKey(t *testing.T) {
	for _, x := range []struct{ add, over, want string }{
		{"", "load.rate=0", "load.rate is not above 0"},
		{"[load]\nrate = 0\n", "", "f:13: load.rate is not above 0"},
		{"[load]\nspeed = 1\n", "", "f:13: unknown key load.speed"},
		{"[doors]\ncount = \"two\"\n", "", "f:13: "},
		{"[doors]\ncount = 2\ncount = 3\n", "", "f:14: doors.count stands twice"},
		{"[net]\ndelay = \"soon\"\n", "", "f:13: "},
		{"[[fault]]\nkind = \"backend-melts\"\nat = \"1s\"\n", "", "f:13: fault[0].kind is \"backend-melts\""},
		{"[[fault]]\nkind = \"backend-hang\"\nat = \"1s\"\nwho = [0]\n", "", "fault[0].for is not above 0"},
		{"[[fault]]\nkind = \"backend-hang\"\nat = \"1s\"\nfor = \"1s\"\n", "", "fault[0].who is missing"},
		{"[[fault]]\nkind = \"backend-hang\"\nat = \"1s\"\nfor = \"1s\"\nwho = [4]\n", "", "f:16: fault[0].who names 4 of 4 backends"},
		{"[[fault]]\nkind = \"backend-slow\"\nat = \"1s\"\nfor = \"1s\"\nwho = [0]\n", "", "fault[0].factor is not above 0"},
		{"[[fault]]\nkind = \"counter-slow\"\nat = \"1s\"\nfor = \"1s\"\n", "", "fault[0].delay is not above 0"},
		{"[[fault]]\nkind = \"counter-empty\"\nat = \"99s\"\n", "", "fault[0].at is not within"},
		{"[[profile]]\nname = \"calc\"\neffect = \"reissuable\"\npromised = \"1s\"\n", "", "profile[1].name is \"calc\""},
		{"[[profile]]\nname = \"other\"\neffect = \"odd\"\npromised = \"1s\"\n", "", "f:14: profile[1].effect is \"odd\""},
		{"[[plan]]\nname = \"other\"\nrate = 3\n", "", "plan[1].burst is not above 0"},
		{"", "on=sky", "on is \"sky\""}, {"", "rate", "key=value"}, {"", "load.speed=3", "unknown key load.speed"},
		{"", "doors.count=17", ""}, {"on = \"sockets\"\n", "doors.count=17", "doors.count is above 16"},
	} {
		text := small + x.add
		if strings.HasPrefix(x.add, "on") {
			text = x.add + small
		}
		var over []string
		if x.over != "" {
			over = []string{x.over}
		}
		if _, err := Parse("f", []byte(text), over...); (err != nil) != (x.want != "") || err != nil && !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q %q: %v, want %q", x.add, x.over, err, x.want)
		}
	}
	if _, err := Parse("f", []byte(small[:40])); err == nil {
		t.Error("a text cut short was taken")
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// The doors' own reader of settings gives what the scenario says.
func TestTermsComeThroughTheDoorsOwnReader(t *testing.T) {
	s, err := Parse("f", []byte(small), "doors.count=3", "backends.zones=2")
	if err != nil {
		t.Fatal(err)
	}
	terms, err := s.EngineSettings(1)
	if err != nil {
		t.Fatal(err)
	}
	p := policy.ClassSettings{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByGroup, DedupWindow: 5e9, LatencyObjective: 750e6, Deadline: 1500e6}
	if terms.InstanceIndex != 1 || terms.Instances != 3 || terms.Zone != 1 || terms.Classes[0] != p || !terms.CounterEnabled ||
		terms.Plans[0] != (policy.PlanSettings{Rate: 8, Burst: 24}) || terms.SlowStartDuration != 9e9 {
		t.Errorf("%+v", terms)
	}
}
