package config

import (
	"slices"
	"strconv"
	"strings"
)

// SelectorKind is the way in which a DrillSelector selects processes. Its value is the word in the records of drills.
// Files use another word for some kinds: see earlierSelectors.
type SelectorKind string

// The kinds of selectors.
const (
	SelectAll          SelectorKind = "all"
	SelectInstances    SelectorKind = "instances"
	SelectProxies      SelectorKind = "relays"
	SelectAllocators   SelectorKind = "desks"
	SelectCoordinators SelectorKind = "stewards"
	SelectOthers       SelectorKind = "rest" // all processes that are not at the other end of the link
	SelectZone         SelectorKind = "zone"
	SelectRelease      SelectorKind = "release"
	SelectProcess      SelectorKind = "process" // one process, by its number
	SelectFirst        SelectorKind = "first"   // the first Count processes
	SelectDraw         SelectorKind = "draw"    // a random choice of Count instances, or of Fraction of the instances
)

// DrillSelector selects processes. Its zero value selects none.
type DrillSelector struct {
	Kind     SelectorKind
	Name     string // the text after the kind: a zone, a release or a number
	Count    int
	Fraction float64 // of all instances; 0 if Count applies
}

// readSelector reads a selector of processes.
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
		s.report(name, written, "must be all, others, proxies, instances, allocators, coordinators, zone NAME, "+
			"release NAME, process N, first N, draw N or draw N%; NAME must be in drill.zones or drill.releases, "+
			"N from 0 to the number of processes, and N% from 0% to 100%")
	}
	return selector
}
