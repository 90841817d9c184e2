package balancer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// TestSubsets checks that endpoints are in equal numbers of subsets up to rounding, that each subset has the configured
// size, and that the order of the endpoints does not matter.
func TestSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clientCount := rapid.IntRange(1, 40).Draw(t, "clients")
		endpointCount := rapid.IntRange(2, 60).Draw(t, "endpoints")
		size := rapid.IntRange(1, endpointCount-1).Draw(t, "size")
		clients, endpoints := makeNames("d", clientCount), makeNames("m", endpointCount)
		subsets := Subsets(clients, endpoints, size)
		count := map[EndpointName]int{}
		for client, subset := range subsets {
			if len(subset) != size {
				t.Fatalf("%s has %d endpoints, want %d", client, len(subset), size)
			}
			for _, name := range subset {
				count[name]++
			}
		}
		for _, name := range endpoints {
			if even := clientCount * size / endpointCount; count[name] < even-1 || count[name] > even+1 {
				t.Fatalf("%s is in %d subsets, want %d±1", name, count[name], even)
			}
		}
		slices.Reverse(endpoints)
		for client, subset := range Subsets(clients, endpoints, size) {
			if !slices.Equal(slices.Sorted(slices.Values(subset)), slices.Sorted(slices.Values(subsets[client]))) {
				t.Fatal("the order of the endpoints changes a subset")
			}
		}
	})
}

// movedConnections returns the number of connections in later that are not in earlier.
func movedConnections(earlier, later map[EndpointName][]EndpointName) (count int) {
	for client, subset := range later {
		for _, name := range subset {
			if !slices.Contains(earlier[client], name) {
				count++
			}
		}
	}
	return count
}

// TestSubsetsAreStable limits the number of the 800 connections that are newly opened when one of 200 endpoints leaves
// or joins, or a client joins.
func TestSubsetsAreStable(t *testing.T) {
	clients, endpoints := makeNames("d", 40), makeNames("m", 200)
	before := Subsets(clients, endpoints, 20)
	const trials = 50
	maxOpened, openedSum := 0, 0
	for i := range trials {
		without := Subsets(clients, slices.Delete(slices.Clone(endpoints), i, i+1), 20)
		leaving, returning := movedConnections(before, without), movedConnections(without, before)
		maxOpened = max(maxOpened, leaving, returning)
		openedSum += leaving
	}
	if maxOpened > 60 || openedSum/trials > 25 {
		t.Fatalf("%d of 800 connections opened on average, at most %d", openedSum/trials, maxOpened)
	}
	if moved := movedConnections(before, Subsets(append(clients, "d40"), endpoints, 20)); moved > 80 {
		t.Fatal("connections opened when a client joins: ", moved)
	}
}
