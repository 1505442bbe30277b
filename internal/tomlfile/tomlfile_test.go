package tomlfile

import (
	"errors"
	"strings"
	"testing"
)

// shape is the type that the tests read texts into.
type shape struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
	Rows []struct {
		N int `toml:"n"`
	} `toml:"row"`
}

func TestRead_ErrorNamesItsLine(t *testing.T) {
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
		var s shape
		_, err := Read("f", []byte(text), &s)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if at, ok := errors.AsType[*PositionError](err); !ok || at.File != "f" || at.Line == 0 {
			t.Errorf("%q: %v has no place", text, err)
		}
	}
}

func TestFile_KeyErrorfNamesItsLine(t *testing.T) {
	var s shape
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
		if fault, ok := errors.AsType[*KeyError](err); !ok || fault.Key != key {
			t.Errorf("%q is no error of the key %s", err, key)
		}
	}
	if _, err := Read("f", nil, &s); err != nil {
		t.Error("an empty text was rejected:", err)
	}
}

// FuzzRead holds that any text gives a value or an error with the text's name, and never a panic.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"", "name = 1", "[[row]]\nn = 1\n", "a.b.c = {x = 1}", "[a]\n[a]\n", "x = [1,\n2",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var s shape
		if _, err := Read("f", text, &s); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%q: %v", text, err)
		}
	})
}
