package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// CheckJSONTags fails the test for each exported field that has no name in its json tag, in the types of the
// values and in all types that they contain: renaming such a field would change stored data. Embedded structs
// need no name, because encoding/json stores their fields as fields of the outer struct.
func CheckJSONTags(tb testing.TB, values ...any) {
	tb.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		checkJSONTags(tb, reflect.TypeOf(value), seen)
	}
}

// checkJSONTags checks a type and all types that it contains, except those in seen.
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
