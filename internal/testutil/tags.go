package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// CheckTags reports each exported field without a name in its json tag, in the types of the values and in all
// that they hold: its stored name would be that of the Go field, and change with it. Embedded structs, whose
// fields stand among those around them, have no name of their own.
func CheckTags(tb testing.TB, values ...any) {
	tb.Helper()
	seen := map[reflect.Type]bool{}
	for _, v := range values {
		checkTags(tb, reflect.TypeOf(v), seen)
	}
}

func checkTags(tb testing.TB, x reflect.Type, seen map[reflect.Type]bool) {
	tb.Helper()
	if seen[x] {
		return
	}
	seen[x] = true
	switch x.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(tb, x.Elem(), seen)
	case reflect.Struct:
		for f := range x.Fields() {
			if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name == "" && f.IsExported() && !f.Anonymous {
				tb.Errorf("%s.%s has no json tag", x, f.Name)
			}
			checkTags(tb, f.Type, seen)
		}
	}
}
