package tomlfile

import (
	"errors"
	"strings"
	"testing"
)

// document is the decoded form of the test texts.
type document struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
	Rows []struct {
		N int `toml:"n"`
	} `toml:"row"`
}

func TestRead_ErrorNamesLine(t *testing.T) {
	for text, want := range map[string]string{
		"name = \"a\"\nrate = \"fast\"":        "f:2: ",
		"name = \"a\"\n\nspeed = 3":            "f:3: unknown key speed",
		"[[row]]\nn = 1\n[[row]]\nm = 2":       "f:4: unknown key row.m",
		"name = \"a\"\nname = \"b\"":           "f:2: name stands twice, first in line 1",
		"[[row]]\nn = 1\n[[row]]\nn = 2\nn= 3": "f:5: row[1].n stands twice",
		"name = \"a\"\nrate = ":                "f:2: ",
		"name = \"a\nrate = 1":                 "f:1: ",
		"[row\nn = 1":                          "f:1: ",
		"rate = 1e999":                         "f:1: ",
		"row = 3":                              "f:1: ",
		"name = \"\xff\"":                      "f:1: ",
	} {
		var s document
		_, err := Read("f", []byte(text), &s)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if positionErr, ok := errors.AsType[*PositionError](err); !ok || positionErr.File != "f" || positionErr.Line == 0 {
			t.Errorf("%q: %v is not a PositionError with a file and a line", text, err)
		}
	}
}

func TestFile_KeyErrorfNamesLine(t *testing.T) {
	var s document
	f, err := Read("f", []byte("# a file\nname = \"a\"\n\n[[row]]\nn = 1\n[[row]]\nn = 2\n"), &s)
	if err != nil || s.Rows[1].N != 2 || !f.HasKey("name") || f.HasKey("rate") {
		t.Fatal(err, s)
	}
	for key, want := range map[string]string{
		"name":         "f:2: name is bad",
		"row[1].n":     "f:7: row[1].n is bad",
		"row[0].other": "f:4: row[0].other is bad",
		"rate":         "f: rate is bad",
	} {
		err := f.KeyErrorf(key, "is %s", "bad")
		if err.Error() != want {
			t.Errorf("%q, want %q", err, want)
		}
		if keyErr, ok := errors.AsType[*KeyError](err); !ok || keyErr.Key != key {
			t.Errorf("%q is not a KeyError for the key %s", err, key)
		}
	}
	if _, err := Read("f", nil, &s); err != nil {
		t.Error("an empty text was rejected:", err)
	}
}

// FuzzRead checks that every text yields a value or an error that starts with the name of the text, and that none
// causes a panic.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"", "name = 1", "[[row]]\nn = 1\n", "a.b.c = {x = 1}", "[a]\n[a]\n", "x = [1,\n2",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var s document
		if _, err := Read("f", text, &s); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%q: %v", text, err)
		}
	})
}
