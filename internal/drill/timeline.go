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

// Event is the beginning or the end of a fault in the timeline.
type Event struct {
	At       time.Duration // since the start of the load
	Fault    *config.DrillFault
	Undo     bool  // the fault ends
	Targets  []int // indexes of processes; nil for a link fault
	From, To []int // indexes of processes, for a link fault
	checked  bool  // the invariants have been checked after it
}

// String returns the text of the event that is printed and stored in records.
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

// abbreviate returns numbers as text: all of them if there are few, otherwise the first ones and the count.
func abbreviate(numbers []int) string {
	const few, shown = 6, 4
	if len(numbers) <= few {
		return strings.Trim(fmt.Sprint(numbers), "[]")
	}
	return fmt.Sprintf("%s ... (%d)", strings.Trim(fmt.Sprint(numbers[:shown]), "[]"), len(numbers))
}

// Timeline returns the events of a script in order of time. The same script and seed produce the same events.
func Timeline(script *config.Drill) []Event {
	var events []Event
	for i := range script.Faults {
		events = append(events, faultEvents(script, i)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// faultEvents returns the beginning of a fault, and its end if it has one. Each fault has its own sequence of random
// numbers, selected by its position in the script. Changing a fault therefore leaves the events of all others
// unchanged. Adding or removing one leaves the events of the faults before it unchanged.
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

// layout holds the ranges of indexes of the processes of each kind: instances first, then proxies, allocators and
// coordinators.
type layout struct {
	proxies, allocators, coordinators, end int // first index of each kind, and the number of processes
}

func layoutOf(script *config.Drill) layout {
	var l layout
	l.proxies = script.Instances
	l.allocators = l.proxies + script.Proxies
	l.coordinators = l.allocators + script.Allocators
	l.end = l.coordinators + script.Coordinators
	return l
}

// selectProcesses returns the indexes of the processes that a selector matches. The selector "others" matches all
// processes but those in except, which are at the other end of the link.
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

// releaseOf returns the release that a process runs at the start of the drill.
func releaseOf(script *config.Drill, index int) string {
	return script.Releases[index/len(script.Zones)%len(script.Releases)]
}
