package plots

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/internal/lab/model"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

func runs(t *testing.T) []*results.Run {
	var all []*results.Run
	for _, over := range []string{"load.rate=50", "load.rate=100"} {
		s, err := scenario.Load("../../../lab/scenarios/counter-lost.toml", "on=model", over)
		if err != nil {
			t.Fatal(err)
		}
		r, err := model.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		r.Label = over
		all = append(all, r)
	}
	return all
}

func TestPicturesAreDrawn(t *testing.T) {
	all, folder := runs(t), t.TempDir()
	size := func(path string) (w, h int) {
		text, _ := os.ReadFile(path)
		if strings.HasSuffix(path, ".svg") {
			if !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("latency")) {
				t.Errorf("%s is no picture of the run", path)
			}
			return
		}
		config, err := png.DecodeConfig(bytes.NewReader(text))
		if err != nil {
			t.Error(err)
		}
		return config.Width, config.Height
	}
	one, two := filepath.Join(folder, "one.png"), filepath.Join(folder, "two.png")
	for path, these := range map[string][]*results.Run{one: all[:1], two: all, filepath.Join(folder, "two.svg"): all} {
		if err := Draw(path, these...); err != nil {
			t.Fatal(err)
		}
		size(path)
	}
	w1, h1 := size(one)
	if w2, h2 := size(two); w2 != 2*w1 || h1 != h2 {
		t.Errorf("one run is %dx%d, two are %dx%d", w1, h1, w2, h2)
	}
	if err := Draw(filepath.Join(folder, "x.jpg"), all...); err == nil {
		t.Error("a name of no known form was taken")
	}
	if err := Draw(one); err == nil {
		t.Error("no run was drawn")
	}
	empty := *all[0]
	empty.Latency, empty.Rows = nil, []results.Row{{}, {Second: 1}}
	if err := Draw(one, &empty); err != nil { // a run in which nothing was answered
		t.Error(err)
	}
	if err := Sweep(filepath.Join(folder, "sweep.png"), "load.rate", []string{"50", "100"}, all); err != nil {
		t.Error(err)
	}
}

func TestTableTellsFindings(t *testing.T) {
	all := runs(t)
	all[1].RulesBroken["2"], all[1].Findings = 1, append(all[1].Findings, all[1].Findings...)
	var text strings.Builder
	if err := Table(&text, all...); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"counter-lost, load.rate=50", "rules 1 to 5 broken", "0, 1, 0, 0, 0", "p99.9"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is lacking in:\n%s", want, text.String())
		}
	}
}

func TestRunsAreReadBack(t *testing.T) {
	all := runs(t)
	path := filepath.Join(t.TempDir(), "run.json")
	if err := all[0].Write(path); err != nil {
		t.Fatal(err)
	}
	back, err := results.Read(path)
	if err != nil || back.Total != all[0].Total || len(back.Rows) != len(all[0].Rows) {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	for bad, want := range map[string]string{"": "no run", string(text[:len(text)/2]): "no run",
		strings.Replace(string(text), `"version": 1`, `"version": 9`, 1): "form 9", `{"version":1}`: "without rows"} {
		os.WriteFile(path, []byte(bad), 0o600)
		if _, err := results.Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v, want %q", bad, err, want)
		}
	}
}
