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

	"lanewheel/internal/config"
)

// Event is one moment of the timeline: something is done, or undone.
type Event struct {
	At       time.Duration
	Fault    *config.DrillFault
	Undo     bool
	Targets  []int // processes, by number
	From, To []int
	checked  bool // it was judged
}

func (e Event) String() string {
	action := e.Fault.Action
	if e.Undo {
		action = "over: " + action
	}
	targets := fmt.Sprint("on ", abbreviate(e.Targets))
	if e.Fault.Action == "agree" {
		return fmt.Sprintf("%6.2fs %s: %s", e.At.Seconds(), e.Fault.Name, e.Fault.Command)
	}
	if e.Targets == nil {
		targets = fmt.Sprint(abbreviate(e.From), " -> ", abbreviate(e.To))
	}
	return fmt.Sprintf("%6.2fs %s: %s %s", e.At.Seconds(), e.Fault.Name, action, targets)
}

// abbreviate writes many numbers as how many and the first few.
func abbreviate(numbers []int) string {
	if len(numbers) <= 6 {
		return strings.Trim(fmt.Sprint(numbers), "[]")
	}
	return fmt.Sprintf("%s ... (%d)", strings.Trim(fmt.Sprint(numbers[:4]), "[]"), len(numbers))
}

// Timeline draws what is done when and to whom: the same seed draws the same.
func Timeline(script *config.Drill) []Event {
	var events []Event
	for i := range script.Faults {
		fault := &script.Faults[i]
		// Each has chance of its own, so that a fault more or less in the script leaves the others as they were.
		random := rand.New(rand.NewPCG(script.RandomSeed, uint64(i)+1))
		start := fault.Earliest + time.Duration(random.Float64()*float64(fault.Latest-fault.Earliest))
		event := Event{At: start, Fault: fault}
		if fault.Action == "agree" {
			event.Targets = []int{}
		} else if fault.Targets.Kind != "" {
			event.Targets = selectProcesses(fault.Targets, script, nil, random)
		} else {
			event.From = selectProcesses(fault.From, script, nil, random)
			event.To = selectProcesses(fault.To, script, event.From, random)
		}
		events = append(events, event)
		if fault.Duration > 0 {
			event.At, event.Undo = start+fault.Duration, true
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

func selectProcesses(group config.DrillSelector, script *config.Drill, except []int, random *rand.Rand) (selected []int) {
	everybody := make([]int, script.Instances+script.Proxies+script.Allocators+script.Coordinators)
	for i := range everybody {
		everybody[i] = i
	}
	switch group.Kind {
	case "all":
		return everybody
	case "instances":
		return everybody[:script.Instances]
	case "relays":
		return everybody[script.Instances : script.Instances+script.Proxies]
	case "desks":
		return everybody[script.Instances+script.Proxies : script.Instances+script.Proxies+script.Allocators]
	case "stewards":
		return everybody[script.Instances+script.Proxies+script.Allocators:]
	case "rest":
		return slices.DeleteFunc(everybody, func(i int) bool { return slices.Contains(except, i) })
	case "zone", "release":
		for i := range everybody {
			if zoneOf(script, i) == group.Name && group.Kind == "zone" || releaseOf(script, i) == group.Name && group.Kind == "release" {
				selected = append(selected, i)
			}
		}
	case "process":
		selected = []int{min(group.Count, len(everybody)-1)}
	case "first":
		selected = everybody[:group.Count]
	case "draw":
		count := group.Count
		if group.Fraction > 0 {
			count = int(group.Fraction*float64(script.Instances) + 0.5)
		}
		selected = random.Perm(script.Instances)[:count]
		slices.Sort(selected)
	}
	return selected
}

func zoneOf(script *config.Drill, index int) string { return script.Zones[index%len(script.Zones)] }
func releaseOf(script *config.Drill, index int) string {
	return script.Releases[index/len(script.Zones)%len(script.Releases)]
}
