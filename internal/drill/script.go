// Package drill rehearses failures: it starts processes of this very program among stand-ins, does to them and to the links
// between them what a script says, and judges what becomes of it.
package drill

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/operator"
)

// Event is one moment of the timeline: something is done, or undone.
type Event struct {
	At       time.Duration
	Fault    *operator.DrillFault
	Undo     bool
	On       []int // processes, by number
	From, To []int
	over     bool // it was judged
}

func (e Event) String() string {
	what := e.Fault.Action
	if e.Undo {
		what = "over: " + what
	}
	who := fmt.Sprint("on ", short(e.On))
	if e.Fault.Action == "agree" {
		return fmt.Sprintf("%6.2fs %s: %s", e.At.Seconds(), e.Fault.Name, e.Fault.Command)
	}
	if e.On == nil {
		who = fmt.Sprint(short(e.From), " -> ", short(e.To))
	}
	return fmt.Sprintf("%6.2fs %s: %s %s", e.At.Seconds(), e.Fault.Name, what, who)
}

// short writes many numbers as how many and the first few.
func short(all []int) string {
	if len(all) <= 6 {
		return strings.Trim(fmt.Sprint(all), "[]")
	}
	return fmt.Sprintf("%s ... (%d)", strings.Trim(fmt.Sprint(all[:4]), "[]"), len(all))
}

// Timeline draws what is done when and to whom: the same seed draws the same.
func Timeline(d *operator.Drill) []Event {
	var all []Event
	for i := range d.Faults {
		f := &d.Faults[i]
		// Each has chance of its own, so that a fault more or less in the script leaves the others as they were.
		chance := rand.New(rand.NewPCG(d.RandomSeed, uint64(i)+1))
		at := f.Earliest + time.Duration(chance.Float64()*float64(f.Latest-f.Earliest))
		e := Event{At: at, Fault: f}
		if f.Action == "agree" {
			e.On = []int{}
		} else if f.Targets.Kind != "" {
			e.On = pick(f.Targets, d, nil, chance)
		} else {
			e.From = pick(f.From, d, nil, chance)
			e.To = pick(f.To, d, e.From, chance)
		}
		all = append(all, e)
		if f.Duration > 0 {
			e.At, e.Undo = at+f.Duration, true
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

func pick(g operator.DrillSelector, d *operator.Drill, but []int, chance *rand.Rand) (all []int) {
	everybody := make([]int, d.Instances+d.Proxies+d.Allocators+d.Coordinators)
	for i := range everybody {
		everybody[i] = i
	}
	switch g.Kind {
	case "all":
		return everybody
	case "instances":
		return everybody[:d.Instances]
	case "relays":
		return everybody[d.Instances : d.Instances+d.Proxies]
	case "desks":
		return everybody[d.Instances+d.Proxies : d.Instances+d.Proxies+d.Allocators]
	case "stewards":
		return everybody[d.Instances+d.Proxies+d.Allocators:]
	case "rest":
		return slices.DeleteFunc(everybody, func(i int) bool { return slices.Contains(but, i) })
	case "zone", "release":
		for i := range everybody {
			if zone(d, i) == g.Name && g.Kind == "zone" || release(d, i) == g.Name && g.Kind == "release" {
				all = append(all, i)
			}
		}
	case "process":
		all = []int{min(g.Count, len(everybody)-1)}
	case "first":
		all = everybody[:g.Count]
	case "draw":
		n := g.Count
		if g.Fraction > 0 {
			n = int(g.Fraction*float64(d.Instances) + 0.5)
		}
		all = chance.Perm(d.Instances)[:n]
		slices.Sort(all)
	}
	return all
}

func zone(d *operator.Drill, i int) string    { return d.Zones[i%len(d.Zones)] }
func release(d *operator.Drill, i int) string { return d.Releases[i/len(d.Zones)%len(d.Releases)] }
