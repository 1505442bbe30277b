package testutil

import (
	"fmt"
	"reflect"
	"testing"
)

// failureRecorder is a testing.TB that records the failures reported by a helper instead of failing the test.
type failureRecorder struct {
	testing.TB
	messages []string
}

func (f *failureRecorder) Helper() {}

func (f *failureRecorder) Errorf(format string, args ...any) {
	f.messages = append(f.messages, fmt.Sprintf(format, args...))
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

// TestCheckJSONTags_ReportsUntaggedFields checks that a field without a name is reported once, at any depth.
func TestCheckJSONTags_ReportsUntaggedFields(t *testing.T) {
	_ = part{private: 1} // an unexported field is not reported
	recorder := &failureRecorder{TB: t}
	CheckJSONTags(recorder, embedded{}, part{})
	want := []string{"testutil.part.Unnamed has no json tag", "testutil.embedded.Empty has no json tag"}
	if !reflect.DeepEqual(recorder.messages, want) {
		t.Errorf("%q", recorder.messages)
	}
}
