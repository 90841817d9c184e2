package membership

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// After each step of a rotation, the keyring contains the primary key. At the end, it contains the new list of keys.
func TestPlanKeyRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawKeys(t, "from")
		to := drawKeys(t, "to")
		rotation := PlanKeyRotation(from, to)
		keyring := slices.Clone(from)
		primary := from[0]
		check := func() {
			if !containsKey(keyring, primary) {
				t.Fatal("the primary key is not in the keyring")
			}
		}
		for _, key := range rotation.Add {
			keyring = append(keyring, key)
			check()
		}
		if rotation.Primary != nil {
			primary = rotation.Primary
			check()
		}
		for _, key := range rotation.Remove {
			keyring = slices.DeleteFunc(keyring, func(candidate Key) bool { return candidate[0] == key[0] })
			check()
		}
		if len(keyring) != len(to) || primary[0] != to[0][0] {
			t.Fatal(keyring, primary, to)
		}
	})
}

// drawKeys draws a list of distinct keys.
func drawKeys(t *rapid.T, label string) (keys []Key) {
	order := rapid.Permutation([]byte("abcde")).Draw(t, label)
	for _, key := range order[:rapid.IntRange(1, 5).Draw(t, label+" count")] {
		keys = append(keys, Key{key})
	}
	return keys
}
