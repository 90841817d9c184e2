package config

import (
	"slices"
	"strconv"
	"strings"
)

// SelectorKind is how processes are named. Its value is the word of the first drills; files have another word for some.
type SelectorKind string

// The kinds.
const (
	SelectAll          SelectorKind = "all"
	SelectInstances    SelectorKind = "instances"
	SelectProxies      SelectorKind = "relays"
	SelectAllocators   SelectorKind = "desks"
	SelectCoordinators SelectorKind = "stewards"
	SelectOthers       SelectorKind = "rest" // none of those at the link's other end
	SelectZone         SelectorKind = "zone"
	SelectRelease      SelectorKind = "release"
	SelectProcess      SelectorKind = "process" // one, by its number
	SelectFirst        SelectorKind = "first"   // so many
	SelectDraw         SelectorKind = "draw"    // so many instances, or a percentage of them, by chance
)

// DrillSelector names processes. Its zero value names none.
type DrillSelector struct {
	Kind     SelectorKind
	Name     string // what stands behind the kind: a zone, a release, a number
	Count    int
	Fraction float64 // of all instances; 0: Count says
}

// readSelector reads which processes are meant.
func (s *section) readSelector(name string, drill *Drill) DrillSelector {
	text, written, found := s.lookupWords(name)
	if !found {
		return DrillSelector{}
	}
	kind, rest, _ := strings.Cut(text, " ")
	rest = strings.TrimSpace(rest)
	selector := DrillSelector{Kind: SelectorKind(kind), Name: rest}
	if stored, differs := storedSelectors[kind]; differs {
		selector.Kind = SelectorKind(stored)
	}
	valid := false
	switch selector.Kind {
	case SelectAll, SelectOthers, SelectProxies, SelectInstances, SelectAllocators, SelectCoordinators:
		valid = rest == ""
	case SelectZone:
		valid = slices.Contains(drill.Zones, rest)
	case SelectRelease:
		valid = slices.Contains(drill.Releases, rest)
	case SelectProcess, SelectFirst, SelectDraw:
		number, isPercentage := strings.CutSuffix(rest, "%")
		count, err := strconv.Atoi(number)
		selector.Count = count
		limit := drill.Instances + drill.Proxies + drill.Allocators + drill.Coordinators
		if isPercentage {
			selector.Fraction = float64(count) / 100
			limit = 100
		}
		valid = err == nil && count >= 0 && count <= limit && (!isPercentage || selector.Kind == SelectDraw)
	}
	if !valid {
		s.report(name, written, "wants all, others, proxies, instances, allocators, coordinators, zone NAME, release NAME, "+
			"process N, first N, draw N or draw N%")
	}
	return selector
}
