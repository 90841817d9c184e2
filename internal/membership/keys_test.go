package membership

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// Keys: at no moment of a turn is there a message that neither list can read.
func TestPlanKeyRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (list []Key) {
			for _, k := range rapid.Permutation([]byte("abcde")).Draw(t, label)[:rapid.IntRange(1, 5).Draw(t, label+"s")] {
				list = append(list, Key{k})
			}
			return list
		}
		from, to := draw("from"), draw("to")
		turn, ring, use := PlanKeyRotation(from, to), slices.Clone(from), from[0]
		check := func() {
			if !containsKey(ring, use) {
				t.Fatal("writes with a key that it does not have")
			}
		}
		for _, k := range turn.Add {
			ring = append(ring, k)
			check()
		}
		if turn.Primary != nil {
			use = turn.Primary
			check()
		}
		for _, k := range turn.Remove {
			ring = slices.DeleteFunc(ring, func(x Key) bool { return x[0] == k[0] })
			check()
		}
		if len(ring) != len(to) || use[0] != to[0][0] {
			t.Fatal(ring, use, to)
		}
	})
}
