package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// CheckTags fails the test for each exported field without a name in its json tag, in the types of the values
// and in all that they hold: renaming such a field would change stored data. Embedded structs need no name,
// because their fields are stored among those of the struct around them.
func CheckTags(tb testing.TB, values ...any) {
	tb.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		checkTags(tb, reflect.TypeOf(value), seen)
	}
}

// checkTags checks a type and all that it holds, unless it has been seen.
func checkTags(tb testing.TB, checked reflect.Type, seen map[reflect.Type]bool) {
	tb.Helper()
	if seen[checked] {
		return
	}
	seen[checked] = true
	switch checked.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(tb, checked.Elem(), seen)
	case reflect.Struct:
		for field := range checked.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "" && field.IsExported() && !field.Anonymous {
				tb.Errorf("%s.%s has no json tag", checked, field.Name)
			}
			checkTags(tb, field.Type, seen)
		}
	}
}
