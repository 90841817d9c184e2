// Package setuptest provides helpers for the set-up of tests in many packages. Only tests import this package.
package setuptest

// Must returns value, and panics if err is not nil. It is for examples and for test set-up that is not expected to
// fail.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
