package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// renamedDocument is the decoded form of the test texts. Its tags are the new names.
type renamedDocument struct {
	Load struct {
		Tenants int `toml:"tenants"`
	} `toml:"load"`
	Rows []struct {
		Kind string `toml:"kind"`
	} `toml:"row"`
}

var testRenames = Renames{
	Keys: []KeyRename{
		{Table: "", Old: "traffic", New: "load"},
		{Table: "load", Old: "users", New: "tenants"},
		{Table: "", Old: "line", New: "row"},
		{Table: "row", Old: "sort", New: "kind"},
	},
	Values: []ValueRename{{Key: "row.kind", Old: "small", New: "little"}},
}

func TestReadWithRenames_AcceptsOldNames(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       []string // the deprecations
	}{
		{"new names", "[load]\ntenants = 3\n[[row]]\nkind = \"little\"\n[[row]]\nkind = \"big\"", nil},
		{
			"old names, reported once each", "[traffic]\nusers = 3\n[[line]]\nsort = \"small\"\n[[line]]\n\"sort\" = \"big\"",
			[]string{
				"f:1: traffic is deprecated: use load",
				"f:2: load.users is deprecated: use load.tenants",
				"f:3: line is deprecated: use row",
				"f:4: row.sort is deprecated: use row.kind",
				"f:4: row.kind = \"small\" is deprecated: use \"little\"",
			},
		},
		{
			"some old names", "[load]\nusers = 3\n[[row]]\nkind = 'small'\n[[row]]\nsort = \"big\"",
			[]string{
				"f:2: load.users is deprecated: use load.tenants",
				"f:4: row.kind = \"small\" is deprecated: use \"little\"",
				"f:6: row.sort is deprecated: use row.kind",
			},
		},
		{
			"dotted keys and inline tables", "traffic . users = 3\nline = [{sort = \"small\"}, {kind = \"big\"}]",
			[]string{
				"f:1: traffic is deprecated: use load",
				"f:1: load.users is deprecated: use load.tenants",
				"f:2: line is deprecated: use row",
				"f:2: row.sort is deprecated: use row.kind",
				"f:2: row.kind = \"small\" is deprecated: use \"little\"",
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s renamedDocument
			_, deprecations, err := ReadWithRenames("f", []byte(test.text), &s, testRenames)
			if err != nil {
				t.Fatal(err)
			}
			if s.Load.Tenants != 3 || len(s.Rows) != 2 || s.Rows[0].Kind != "little" || s.Rows[1].Kind != "big" {
				t.Errorf("%+v", s)
			}
			var got []string
			for _, deprecation := range deprecations {
				got = append(got, deprecation.String())
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("deprecations\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
		})
	}
}

func TestReadWithRenames_ErrorNamesLine(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{
			"[traffic]\nusers = 1\n[load]\ntenants = 2",
			`f:3: load is given as "traffic" in line 1 and as "load" here: keep one`,
		},
		{
			"[load]\ntenants = 1\nusers = 2",
			`f:3: load.tenants is given as "tenants" in line 2 and as "users" here: keep one`,
		},
		{
			"[[row]]\nkind = \"a\"\n[[line]]\nkind = \"a\"",
			`f:3: row is given as "row" in line 1 and as "line" here: keep one`,
		},
		{
			"[[row]]\n[[row]]\nsort = \"a\"\nkind = \"a\"",
			`f:4: row[1].kind is given as "sort" in line 3 and as "kind" here: keep one`,
		},
		{
			"row = [{sort = \"a\", kind = \"a\"}]",
			`f:1: row[0].kind is given as "sort" in line 1 and as "kind" here: keep one`,
		},
		{
			"load.users = 1\nload.tenants = 2",
			`f:2: load.tenants is given as "users" in line 1 and as "tenants" here: keep one`,
		},
		{"[load]\nusers = 1\nusers = 2", "f:3: load.tenants stands twice, first in line 2"},
		{"[traffic]\nusers = \"a\"", "f:2: "},
		{"[traffic]\nspeed = 1", "f:2: unknown key load.speed"},
		{"[traffic]\nusers = ", "f:2: "},
	} {
		var s renamedDocument
		_, _, err := ReadWithRenames("f", []byte(test.text), &s, testRenames)
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", test.text, err, test.want)
		}
		if positionErr, ok := errors.AsType[*PositionError](err); !ok || positionErr.File != "f" || positionErr.Line == 0 {
			t.Errorf("%q: %v is not a PositionError with a file and a line", test.text, err)
		}
	}
}

// TestReadWithRenames_FileUsesNewNames checks that the File holds the new names, and that an error about a new name has
// the line of the old name.
func TestReadWithRenames_FileUsesNewNames(t *testing.T) {
	var s renamedDocument
	f, _, err := ReadWithRenames("f", []byte("\n[traffic]\nusers = 3\n"), &s, testRenames)
	if err != nil || !f.HasKey("load.tenants") || f.HasKey("traffic.users") {
		t.Fatal(err)
	}
	if got := f.KeyErrorf("load.tenants", "is odd").Error(); got != "f:3: load.tenants is odd" {
		t.Error(got)
	}
}

// FuzzReadWithRenames checks that every text yields a value or an error that starts with the name of the text, and that
// none causes a panic.
func FuzzReadWithRenames(f *testing.F) {
	for _, text := range []string{
		"", "traffic = 1", "[[line]]\nsort = \"small\"\n", "line = [{sort = \"small\"}, [{}]]",
		"[traffic.users]\n", "[[line.sort]]",
		"line.sort = \"\"\"\nsmall\"\"\"",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var s renamedDocument
		if _, _, err := ReadWithRenames("f", text, &s, testRenames); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%q: %v", text, err)
		}
	})
}
