package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// CheckJSONTags fails the test for each exported field without a name in its json tag, in the types of the values
// and in all that they hold: renaming such a field would change stored data. Embedded structs need no name,
// because their fields are stored among those of the struct around them.
func CheckJSONTags(tb testing.TB, values ...any) {
	tb.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		checkJSONTags(tb, reflect.TypeOf(value), seen)
	}
}

// checkJSONTags checks a type and all that it holds, unless it has been seen.
func checkJSONTags(tb testing.TB, valueType reflect.Type, seen map[reflect.Type]bool) {
	tb.Helper()
	if seen[valueType] {
		return
	}
	seen[valueType] = true
	switch valueType.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkJSONTags(tb, valueType.Elem(), seen)
	case reflect.Struct:
		for field := range valueType.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "" && field.IsExported() && !field.Anonymous {
				tb.Errorf("%s.%s has no json tag", valueType, field.Name)
			}
			checkJSONTags(tb, field.Type, seen)
		}
	}
}
