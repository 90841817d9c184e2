package config

import (
	"slices"
	"strconv"
	"strings"
)

// DrillSelector names processes. Its zero value names none.
type DrillSelector struct {
	Kind     string // how they are named, as records of drills have it
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
	selector := DrillSelector{Kind: kind, Name: rest}
	if stored, differs := storedSelectors[kind]; differs {
		selector.Kind = stored
	}
	valid := false
	switch kind {
	case "all", "others", "proxies", "instances", "allocators", "coordinators":
		valid = rest == ""
	case "zone":
		valid = slices.Contains(drill.Zones, rest)
	case "release":
		valid = slices.Contains(drill.Releases, rest)
	case "process", "first", "draw":
		number, isPercentage := strings.CutSuffix(rest, "%")
		count, err := strconv.Atoi(number)
		selector.Count = count
		limit := drill.Instances + drill.Proxies + drill.Allocators + drill.Coordinators
		if isPercentage {
			selector.Fraction = float64(count) / 100
			limit = 100
		}
		valid = err == nil && count >= 0 && count <= limit && (!isPercentage || kind == "draw")
	}
	if !valid {
		s.report(name, written, "wants all, others, proxies, instances, allocators, coordinators, zone NAME, release NAME, "+
			"process N, first N, draw N or draw N%")
	}
	return selector
}
