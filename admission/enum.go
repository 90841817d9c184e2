package admission

import "fmt"

// enumString returns the name of an enumeration value, or its type and number if it has no name.
func enumString(typeName string, names []string, value int) string {
	if value >= 0 && value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", typeName, value)
}
