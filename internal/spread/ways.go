package spread

import "time"

// Way is how one member is picked. All but Informed are there to be compared with.
type Way uint8

const (
	Informed   Way = iota // a few drawn by share, the least loaded by what is likely by now
	Random                // by told capacity
	RoundRobin            // one after the other, from a drawn place
	LeastOpen             // of all, by our own count of open ops
	TwoOwn                // of two, by our own count
	TwoTold               // of two, by what they last said, however old
	Greedy                // of all, by what they last said: everybody's favourite
)

var wayNames = []string{"informed", "random", "round-robin", "least-open", "two-own", "two-told", "greedy"}

func (w Way) String() string { return wayNames[w] }

// plain picks by one of the simple ways.
func (c *Chooser) plain(chance func() float64) (place int, ok bool) {
	n := len(c.all)
	any := func() int { return min(n-1, int(chance()*float64(n))) }
	of := func(load func(*member) float64, places ...int) int {
		best := places[0]
		for _, i := range places[1:] {
			if load(c.all[i]) < load(c.all[best]) {
				best = i
			}
		}
		return best
	}
	open := func(m *member) float64 { return float64(m.open) / m.Capacity }
	told := func(m *member) float64 {
		if !m.known {
			return c.mean
		}
		return m.load
	}
	switch c.told.Way {
	case Random:
		total := 0.0
		for _, m := range c.all {
			total += m.Capacity
		}
		x := chance() * total
		for i, m := range c.all {
			if x -= m.Capacity; x < 0 {
				return i, true
			}
		}
		return n - 1, true
	case RoundRobin:
		if c.turn == 0 {
			c.turn = 1 + any()
		}
		c.turn++
		return c.turn % n, true
	case TwoOwn:
		return of(open, any(), any()), true
	case TwoTold:
		return of(told, any(), any()), true
	case LeastOpen, Greedy:
		by := open
		if c.told.Way == Greedy {
			by = told
		}
		from := any() // ties go to a drawn one
		best := from
		for k := range n {
			if i := (from + k) % n; by(c.all[i]) < by(c.all[best]) {
				best = i
			}
		}
		return best, true
	}
	return 0, false
}

// Gap is the time that a member should wait for an op, by its capacity: what idle is held against.
func (c *Chooser) Gap(i int, rate float64) time.Duration {
	if rate <= 0 || len(c.sums) == 0 {
		return 0
	}
	return time.Duration(c.sums[len(c.sums)-1] / c.all[i].weight / rate * float64(time.Second))
}
