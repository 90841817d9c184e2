// Package setuptest is imported by tests alone. It holds what their set-up needs in many packages.
package setuptest

// Must gives a value, for an example or a test whose set-up cannot fail; it panics if it does.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
