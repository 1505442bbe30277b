package testutil

import (
	"fmt"
	"reflect"
	"testing"
)

// failures notes what a test helper reports.
type failures struct {
	testing.TB
	said []string
}

func (f *failures) Helper() {}

func (f *failures) Errorf(form string, args ...any) {
	f.said = append(f.said, fmt.Sprintf(form, args...))
}

type part struct {
	Named   int `json:"named"`
	Unnamed int
	private int
}

type embedded struct {
	part
	Parts []map[string]*part `json:"parts"`
	Empty int                `json:",omitempty"`
}

// TestCheckTags_ReportsUntaggedFields has fields without a name told, wherever they lie, each once.
func TestCheckTags_ReportsUntaggedFields(t *testing.T) {
	_ = part{private: 1} // it is there to be passed over
	f := &failures{TB: t}
	CheckTags(f, embedded{}, part{})
	if want := []string{"testutil.part.Unnamed has no json tag", "testutil.embedded.Empty has no json tag"}; !reflect.DeepEqual(f.said, want) {
		t.Errorf("%q", f.said)
	}
}
