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

// Event is one moment of the timeline: a fault begins or ends.
type Event struct {
	At       time.Duration // since the start of the load
	Fault    *config.DrillFault
	Undo     bool  // it ends
	Targets  []int // indexes of processes; nil: it is a fault of links
	From, To []int // indexes of processes, of a fault of links
	checked  bool  // the invariants were checked after it
}

// String returns the event as it is printed and recorded.
func (e Event) String() string {
	action := string(e.Fault.Action)
	if e.Undo {
		action = "over: " + action
	}
	prefix := fmt.Sprintf("%6.2fs %s: ", e.At.Seconds(), e.Fault.Name)
	switch {
	case e.Fault.Action == config.ActionCoordinatorCommand:
		return prefix + e.Fault.Command
	case e.Targets == nil:
		return prefix + action + " " + abbreviate(e.From) + " -> " + abbreviate(e.To)
	}
	return prefix + action + " on " + abbreviate(e.Targets)
}

// abbreviate returns numbers as text: all of a few, of many the first ones and their count.
func abbreviate(numbers []int) string {
	const few, shown = 6, 4
	if len(numbers) <= few {
		return strings.Trim(fmt.Sprint(numbers), "[]")
	}
	return fmt.Sprintf("%s ... (%d)", strings.Trim(fmt.Sprint(numbers[:shown]), "[]"), len(numbers))
}

// Timeline returns the events of a script in their order. The same seed gives the same.
func Timeline(script *config.Drill) []Event {
	var events []Event
	for i := range script.Faults {
		events = append(events, faultEvents(script, i)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// faultEvents returns the beginning of a fault, and its end if it has one. Each fault has random numbers of its own, so
// that one more or less in the script leaves the others as they were.
func faultEvents(script *config.Drill, index int) []Event {
	fault := &script.Faults[index]
	random := rand.New(rand.NewPCG(script.RandomSeed, uint64(index)+1))
	begin := Event{
		At:    fault.Earliest + time.Duration(random.Float64()*float64(fault.Latest-fault.Earliest)),
		Fault: fault,
	}
	switch {
	case fault.Action == config.ActionCoordinatorCommand:
		begin.Targets = []int{}
	case fault.Targets.Kind != "":
		begin.Targets = selectProcesses(fault.Targets, script, nil, random)
	default:
		begin.From = selectProcesses(fault.From, script, nil, random)
		begin.To = selectProcesses(fault.To, script, begin.From, random)
	}
	if fault.Duration <= 0 {
		return []Event{begin}
	}
	end := begin
	end.At += fault.Duration
	end.Undo = true
	return []Event{begin, end}
}

// layout is where the kinds of processes are: instances first, then proxies, allocators and coordinators.
type layout struct {
	proxies, allocators, coordinators, end int // first index of each kind
}

func layoutOf(script *config.Drill) layout {
	var l layout
	l.proxies = script.Instances
	l.allocators = l.proxies + script.Proxies
	l.coordinators = l.allocators + script.Allocators
	l.end = l.coordinators + script.Coordinators
	return l
}

// selectProcesses returns the indexes of the processes that a selector names; except are those at a link's other end.
func selectProcesses(selector config.DrillSelector, script *config.Drill, except []int, random *rand.Rand) []int {
	l := layoutOf(script)
	all := make([]int, l.end)
	for i := range all {
		all[i] = i
	}
	switch selector.Kind {
	case config.SelectAll:
		return all
	case config.SelectInstances:
		return all[:l.proxies]
	case config.SelectProxies:
		return all[l.proxies:l.allocators]
	case config.SelectAllocators:
		return all[l.allocators:l.coordinators]
	case config.SelectCoordinators:
		return all[l.coordinators:]
	case config.SelectOthers:
		return slices.DeleteFunc(all, func(i int) bool { return slices.Contains(except, i) })
	case config.SelectZone:
		return slices.DeleteFunc(all, func(i int) bool { return zoneOf(script, i) != selector.Name })
	case config.SelectRelease:
		return slices.DeleteFunc(all, func(i int) bool { return releaseOf(script, i) != selector.Name })
	case config.SelectProcess:
		return []int{min(selector.Count, len(all)-1)}
	case config.SelectFirst:
		return all[:selector.Count]
	case config.SelectDraw:
		return drawInstances(selector, script.Instances, random)
	}
	return nil
}

func drawInstances(selector config.DrillSelector, instances int, random *rand.Rand) []int {
	count := selector.Count
	if selector.Fraction > 0 {
		count = int(selector.Fraction*float64(instances) + 0.5)
	}
	drawn := random.Perm(instances)[:count]
	slices.Sort(drawn)
	return drawn
}

// zoneOf returns the zone of a process.
func zoneOf(script *config.Drill, index int) string { return script.Zones[index%len(script.Zones)] }

// releaseOf returns the release that a process starts on.
func releaseOf(script *config.Drill, index int) string {
	return script.Releases[index/len(script.Zones)%len(script.Releases)]
}
