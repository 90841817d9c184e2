package balancer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// TestSubsets checks that each endpoint is in as many subsets as any other, one more or less, and that each client
// has as many as configured.
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
				t.Fatalf("%s is in %d subsets, even is %d", name, count[name], even)
			}
		}
		slices.Reverse(endpoints)
		for client, subset := range Subsets(clients, endpoints, size) {
			if !slices.Equal(slices.Sorted(slices.Values(subset)), slices.Sorted(slices.Values(subsets[client]))) {
				t.Fatal("another order, another subset")
			}
		}
	})
}

// movedConnections returns the number of connections of later that earlier has not.
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

// TestSubsetsAreStable checks how many of 800 connections are opened when one of 200 endpoints goes or comes, or a
// client comes.
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
		t.Fatalf("%d of 800 opened on average, %d at the most", openedSum/trials, maxOpened)
	}
	if moved := movedConnections(before, Subsets(append(clients, "d40"), endpoints, 20)); moved > 80 {
		t.Fatal("a further client opens ", moved)
	}
}
