package spread

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
func Subsets(deciders, members []Name, k int) map[Name][]Name {
	out := make(map[Name][]Name, len(deciders))
	if k >= len(members) || len(deciders) == 0 {
		for _, d := range deciders {
			out[d] = members
		}
		return out
	}
	deciders, members = slices.Clone(deciders), slices.Clone(members)
	slices.Sort(deciders)
	slices.Sort(members)
	type wish struct {
		m    int
		hash uint64
	}
	// Places: k a decider over all members; those that take one more are drawn by their own hash, so that they stay the same ones.
	places := len(deciders) * k
	quota := make([]int, len(members))
	order := make([]wish, len(members))
	for i, m := range members {
		quota[i] = places / len(members)
		order[i] = wish{i, xxhash.Sum64String("one more " + string(m))}
	}
	slices.SortFunc(order, func(a, b wish) int { return cmp.Compare(a.hash, b.hash) })
	for _, w := range order[:places%len(members)] {
		quota[w.m]++
	}
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(string(m))
	}
	// A decider's wishes, the best first. Few get beyond the first six times k, so only those are sorted at first.
	wishes := make([][]wish, len(deciders))
	limits := make([]float64, len(deciders))
	further := func(d int) {
		limits[d] = max(6*float64(k)/float64(len(members)), 4*limits[d])
		below := uint64(math.MaxUint64)
		if limits[d] < 1 {
			below = uint64(limits[d] * math.MaxUint64)
		}
		own := xxhash.Sum64String(string(deciders[d]))
		var list []wish
		for i := range members {
			if h := mix(own, hashes[i]); h <= below {
				list = append(list, wish{i, h})
			}
		}
		slices.SortFunc(list, func(a, b wish) int { return cmp.Compare(a.hash, b.hash) })
		wishes[d] = list
	}
	type taken struct {
		d    int
		hash uint64
	}
	held := make([][]taken, len(members)) // the worst last
	next := make([]int, len(deciders))
	wants := make([]int, len(deciders))
	queue := make([]int, len(deciders))
	for d := range deciders {
		wants[d], queue[d] = k, d
	}
	for len(queue) > 0 {
		d := queue[len(queue)-1]
		for next[d] == len(wishes[d]) && limits[d] < 1 {
			further(d)
		}
		if wants[d] == 0 || next[d] == len(wishes[d]) {
			queue = queue[:len(queue)-1]
			continue
		}
		w := wishes[d][next[d]]
		next[d]++
		if quota[w.m] == 0 {
			continue
		}
		h := held[w.m]
		if len(h) == quota[w.m] {
			if h[len(h)-1].hash <= w.hash {
				continue
			}
			out := h[len(h)-1].d
			h = h[:len(h)-1]
			wants[out]++
			queue = append(queue, out) // the result is the same in whatever order they ask
		}
		at, _ := slices.BinarySearchFunc(h, w.hash, func(t taken, hash uint64) int { return cmp.Compare(t.hash, hash) })
		held[w.m] = slices.Insert(h, at, taken{d, w.hash})
		wants[d]--
	}
	// Who asked all and still wants some is left where the only room is at a member that has him already: another's place there is
	// changed against one elsewhere.
	in := func(m, d int) bool { return slices.ContainsFunc(held[m], func(t taken) bool { return t.d == d }) }
	for d := range deciders {
	next:
		for ; wants[d] > 0; wants[d]-- {
			for x := range held {
				if len(held[x]) >= quota[x] {
					continue
				}
				if !in(x, d) {
					held[x] = append(held[x], taken{d, 0})
					continue next
				}
				for y := range held {
					if in(y, d) {
						continue
					}
					for i, t := range held[y] {
						if !in(x, t.d) {
							held[y][i].d = d
							held[x] = append(held[x], t)
							continue next
						}
					}
				}
			}
		}
	}
	for m, h := range held {
		for _, t := range h {
			out[deciders[t.d]] = append(out[deciders[t.d]], members[m])
		}
	}
	return out
}

// mix is one hash of two.
func mix(a, b uint64) uint64 {
	var x [16]byte
	binary.LittleEndian.PutUint64(x[:], a)
	binary.LittleEndian.PutUint64(x[8:], b)
	return xxhash.Sum64(x[:])
}
