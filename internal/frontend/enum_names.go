package frontend

import "fmt"

// enumName returns the name of an enum value, or the type name and the number of a value without a name.
func enumName[T ~uint8 | ~uint32](names []string, typeName string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", typeName, value)
}
