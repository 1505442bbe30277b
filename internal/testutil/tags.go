package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// CheckTags reports each exported field without a name in its json tag, in the types of the values and in all that they
// hold: its stored name would be that of the Go field, and change with it. Embedded structs, whose fields stand among
// those around them, have no name of their own.
func CheckTags(t testing.TB, values ...any) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, v := range values {
		checkTags(t, reflect.TypeOf(v), seen)
	}
}

func checkTags(t testing.TB, x reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[x] {
		return
	}
	seen[x] = true
	switch x.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(t, x.Elem(), seen)
	case reflect.Struct:
		for f := range x.Fields() {
			if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name == "" && f.IsExported() && !f.Anonymous {
				t.Errorf("%s.%s has no json tag", x, f.Name)
			}
			checkTags(t, f.Type, seen)
		}
	}
}
