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

// runsAtTwoRates returns runs of one scenario at two request rates.
func runsAtTwoRates(t *testing.T) (runs []*results.Run) {
	t.Helper()
	for _, override := range []string{"load.rate=50", "load.rate=100"} {
		s, err := scenario.Load("../../../lab/scenarios/counter-lost.toml", "on=model", override)
		if err != nil {
			t.Fatal(err)
		}
		run, err := model.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		run.Label = override
		runs = append(runs, run)
	}
	return runs
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func pngSize(t *testing.T, path string) (width, height int) {
	t.Helper()
	config, err := png.DecodeConfig(bytes.NewReader(readFile(t, path)))
	if err != nil {
		t.Error(err)
	}
	return config.Width, config.Height
}

// TestDrawRuns checks the size and the format of pictures of one run and of two runs side by side.
func TestDrawRuns(t *testing.T) {
	runs, folder := runsAtTwoRates(t), t.TempDir()
	one := filepath.Join(folder, "one.png")
	two := filepath.Join(folder, "two.png")
	svg := filepath.Join(folder, "two.svg")
	for path, drawn := range map[string][]*results.Run{one: runs[:1], two: runs, svg: runs} {
		if err := DrawRuns(path, drawn...); err != nil {
			t.Fatal(err)
		}
	}
	width, height := pngSize(t, one)
	if w, h := pngSize(t, two); w != 2*width || h != height {
		t.Errorf("the picture of one run is %dx%d, that of two runs is %dx%d", width, height, w, h)
	}
	text := readFile(t, svg)
	if !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("latency")) {
		t.Errorf("%s is not an SVG picture of the run", svg)
	}
	if err := DrawRuns(filepath.Join(folder, "x.jpg"), runs...); err == nil {
		t.Error("a name of no known form was accepted")
	}
	if err := DrawRuns(one); err == nil {
		t.Error("no run was drawn")
	}
}

// TestDrawRuns_WithoutAnswers draws a run without answers, for which no logarithmic axis can be drawn.
func TestDrawRuns_WithoutAnswers(t *testing.T) {
	empty := *runsAtTwoRates(t)[0]
	empty.Latency = nil
	empty.Rows = []results.Row{{}, {Second: 1}}
	if err := DrawRuns(filepath.Join(t.TempDir(), "empty.png"), &empty); err != nil {
		t.Error(err)
	}
}

func TestDrawSweep(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sweep.png")
	if err := DrawSweep(path, "load.rate", []string{"50", "100"}, runsAtTwoRates(t)); err != nil {
		t.Error(err)
	}
}

// TestWriteTable_ListsViolations checks the table of two runs, one of which has a violation.
func TestWriteTable_ListsViolations(t *testing.T) {
	runs := runsAtTwoRates(t)
	runs[1].RulesBroken["2"] = 1
	runs[1].Findings = append(runs[1].Findings, runs[1].Findings...)
	var text strings.Builder
	if err := WriteTable(&text, runs...); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"counter-lost, load.rate=50", "rules 1 to 5 broken", "0, 1, 0, 0, 0", "p99.9",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, text.String())
		}
	}
}

// TestRead_AfterWrite checks that a run's file is read back, and that files without a valid run are rejected.
func TestRead_AfterWrite(t *testing.T) {
	run := runsAtTwoRates(t)[0]
	path := filepath.Join(t.TempDir(), "run.json")
	if err := run.Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := results.Read(path)
	if err != nil || read.Total != run.Total || len(read.Rows) != len(run.Rows) {
		t.Fatal(err)
	}
	text := string(readFile(t, path))
	for faulty, want := range map[string]string{
		"":                 "not a results file",
		text[:len(text)/2]: "not a results file",
		strings.Replace(text, `"version": 1`, `"version": 9`, 1): "file format version 9 is not supported",
		`{"version":1}`: "the run has no rows",
	} {
		if err := os.WriteFile(path, []byte(faulty), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := results.Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v, want %q", faulty, err, want)
		}
	}
}
