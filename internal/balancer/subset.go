package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subsets gives each decider the members that it keeps connections to, at most k. Whoever knows the same names works out the same.
// Each member is in as many subsets as any other, one more or less, and when one comes or goes few connections move: deciders
// and members take each other by a hash of both names, as in a market where each member takes so many and no more (Gale and Shapley's
// deferred acceptance); a newcomer displaces a few, who find the next best.
func Subsets(clients, endpoints []EndpointName, size int) map[EndpointName][]EndpointName {
	out := make(map[EndpointName][]EndpointName, len(clients))
	if size >= len(endpoints) || len(clients) == 0 {
		for _, client := range clients {
			out[client] = endpoints
		}
		return out
	}
	clients, endpoints = slices.Clone(clients), slices.Clone(endpoints)
	slices.Sort(clients)
	slices.Sort(endpoints)
	type wish struct {
		m    int
		hash uint64
	}
	// Places: k a decider over all members; those that take one more are drawn by their own hash, so that they stay the same ones.
	slots := len(clients) * size
	quota := make([]int, len(endpoints))
	tieOrder := make([]wish, len(endpoints))
	for i, endpoint := range endpoints {
		quota[i] = slots / len(endpoints)
		tieOrder[i] = wish{i, xxhash.Sum64String("one more " + string(endpoint))}
	}
	slices.SortFunc(tieOrder, func(a, b wish) int { return cmp.Compare(a.hash, b.hash) })
	for _, candidate := range tieOrder[:slots%len(endpoints)] {
		quota[candidate.m]++
	}
	hashes := make([]uint64, len(endpoints))
	for i, endpoint := range endpoints {
		hashes[i] = xxhash.Sum64String(string(endpoint))
	}
	// A decider's wishes, the best first. Few get beyond the first six times k, so only those are sorted at first.
	preferences := make([][]wish, len(clients))
	hashLimits := make([]float64, len(clients))
	extendPreferences := func(client int) {
		hashLimits[client] = max(6*float64(size)/float64(len(endpoints)), 4*hashLimits[client])
		maxHash := uint64(math.MaxUint64)
		if hashLimits[client] < 1 {
			maxHash = uint64(hashLimits[client] * math.MaxUint64)
		}
		clientHash := xxhash.Sum64String(string(clients[client]))
		var candidates []wish
		for i := range endpoints {
			if h := mixHashes(clientHash, hashes[i]); h <= maxHash {
				candidates = append(candidates, wish{i, h})
			}
		}
		slices.SortFunc(candidates, func(a, b wish) int { return cmp.Compare(a.hash, b.hash) })
		preferences[client] = candidates
	}
	type taken struct {
		d    int
		hash uint64
	}
	accepted := make([][]taken, len(endpoints)) // the worst last
	nextPreference := make([]int, len(clients))
	missing := make([]int, len(clients))
	pending := make([]int, len(clients))
	for client := range clients {
		missing[client], pending[client] = size, client
	}
	for len(pending) > 0 {
		client := pending[len(pending)-1]
		for nextPreference[client] == len(preferences[client]) && hashLimits[client] < 1 {
			extendPreferences(client)
		}
		if missing[client] == 0 || nextPreference[client] == len(preferences[client]) {
			pending = pending[:len(pending)-1]
			continue
		}
		candidate := preferences[client][nextPreference[client]]
		nextPreference[client]++
		if quota[candidate.m] == 0 {
			continue
		}
		h := accepted[candidate.m]
		if len(h) == quota[candidate.m] {
			if h[len(h)-1].hash <= candidate.hash {
				continue
			}
			out := h[len(h)-1].d
			h = h[:len(h)-1]
			missing[out]++
			pending = append(pending, out) // the result is the same in whatever order they ask
		}
		position, _ := slices.BinarySearchFunc(h, candidate.hash, func(t taken, hash uint64) int { return cmp.Compare(t.hash, hash) })
		accepted[candidate.m] = slices.Insert(h, position, taken{client, candidate.hash})
		missing[client]--
	}
	// Who asked all and still wants some is left where the only room is at a member that has him already: another's place there is
	// changed against one elsewhere.
	serves := func(endpoint, client int) bool {
		return slices.ContainsFunc(accepted[endpoint], func(t taken) bool { return t.d == client })
	}
	for client := range clients {
	next:
		for ; missing[client] > 0; missing[client]-- {
			for open := range accepted {
				if len(accepted[open]) >= quota[open] {
					continue
				}
				if !serves(open, client) {
					accepted[open] = append(accepted[open], taken{client, 0})
					continue next
				}
				for full := range accepted {
					if serves(full, client) {
						continue
					}
					for i, t := range accepted[full] {
						if !serves(open, t.d) {
							accepted[full][i].d = client
							accepted[open] = append(accepted[open], t)
							continue next
						}
					}
				}
			}
		}
	}
	for endpoint, h := range accepted {
		for _, t := range h {
			out[clients[t.d]] = append(out[clients[t.d]], endpoints[endpoint])
		}
	}
	return out
}

// mixHashes is one hash of two.
func mixHashes(a, b uint64) uint64 {
	var x [16]byte
	binary.LittleEndian.PutUint64(x[:], a)
	binary.LittleEndian.PutUint64(x[8:], b)
	return xxhash.Sum64(x[:])
}
