package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/policy"
)

// TestRead_OverlayReplacesAndAddsRows checks that a row of the overlay replaces the row of the same name at its
// position, and that new rows are appended in the order of their names.
func TestRead_OverlayReplacesAndAddsRows(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	plan := func(name, rate string) json.RawMessage {
		return json.RawMessage(`{"name": "` + name + `", "quota-rate": ` + rate + `, "peak-units": 1}`)
	}
	c, err := Read(path, Overlay{
		Plans: map[string]json.RawMessage{
			"solo": plan("solo", "7"),
			"team": plan("team", "8"),
			"city": plan("city", "9"),
		},
		Classes: map[string]json.RawMessage{
			"pay": json.RawMessage(`{"name": "pay", "goal-time-ms": 1, "deadline-ms": 2, "effect": "read_like"}`),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range []struct {
		name string
		rate float64
	}{{"team", 8}, {"city", 9}, {"solo", 7}} {
		if c.Plans[want.name] != policy.PlanID(id) || c.Settings.Plans[id].Rate != want.rate {
			t.Errorf("plan %s has the id %d; row %d is %+v", want.name, c.Plans[want.name], id, c.Settings.Plans[id])
		}
	}
	if c.Classes["lookup"] != 0 || c.Classes["pay"] != 1 || len(c.Settings.Classes) != 2 {
		t.Errorf("classes %v, %d rows", c.Classes, len(c.Settings.Classes))
	}
}

func TestRead_OverlayErrorNamesKey(t *testing.T) {
	overlay := Overlay{Plans: map[string]json.RawMessage{"team": json.RawMessage(`{"name": "team"}`)}}
	for want, change := range map[string][2]string{
		"with the store's rows: settings: tariffs is no list: ": {`"tariffs": [`, `"tariffs": 4, "other": [`},
		"with the store's rows: settings: tariffs[0]: ":         {`"tariffs": [{`, `"tariffs": [4, {`},
		"with the store's rows: settings: no JSON object: ":     {`"settings":{`, `"settings":[], "other":{`},
		"settings.tariffs[0].quota-rate is missing":             {`"quota-rate": 2`, `"quota-rate": 3`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path, overlay); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestCheckRow(t *testing.T) {
	for _, c := range []struct{ name, value, want string }{
		{name: "team", value: `{"name": "team"}`},
		{name: "team", value: `{"name": "solo"}`, want: `its name is "solo", and the key's is "team"`},
		{name: "team", value: `{}`, want: `its name is "", and the key's is "team"`},
		{name: "team", value: `[`, want: "unexpected end of JSON input"},
	} {
		err := CheckRow(c.name, json.RawMessage(c.value))
		if c.want == "" && err != nil {
			t.Errorf("%s: %v", c.value, err)
		}
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.value, err, c.want)
		}
	}
}
