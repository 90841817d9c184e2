package config

import "lanewheel/internal/coordination"

// ParseBudgets reads a file of sections [budget NAME], which an operator hands to the coordinators; path is what its
// diagnostics name. It warns of earlier names.
func ParseBudgets(path string, text []byte) ([]coordination.DisruptionBudget, error) {
	r := newReader(path, text, &planRenames)
	var budgets []coordination.DisruptionBudget
	for _, s := range r.sectionsOfKind("budget") {
		budgets = append(budgets, s.readBudget())
	}
	if len(budgets) == 0 && len(r.diagnostics) == 0 {
		r.report("", "", "", "wants sections [budget NAME]")
	}
	r.reportUnknownSections("budget")
	r.renamed.Warn()
	return budgets, r.diagnostics.Err()
}

// readBudget reads one budget. Of the two limits the one that is not given is negative.
func (s *section) readBudget() coordination.DisruptionBudget {
	budget := coordination.DisruptionBudget{
		Name:                   s.label(),
		Selector:               s.readMemberSelector(""),
		MaxUnavailable:         -1,
		MaxUnavailableFraction: -1,
	}
	s.stringValue("upstream", &budget.Selector.Upstream)
	s.intValue("max-unavailable", &budget.MaxUnavailable, 0, 100_000)
	s.floatValue("max-unavailable-fraction", &budget.MaxUnavailableFraction, 0, 1)
	if (budget.MaxUnavailableFraction < 0) == (budget.MaxUnavailable < 0) {
		s.report("max-unavailable", "", "wants one of max-unavailable and max-unavailable-fraction")
	}
	s.floatValue("min-capacity", &budget.MinAvailableCapacity, 0, 1e9)
	s.reportUnknownNames()
	return budget
}

// readMemberSelector reads which members are meant; prefix stands before each name.
func (s *section) readMemberSelector(prefix string) coordination.Selector {
	var selector coordination.Selector
	s.stringValue(prefix+"zone", &selector.Zone)
	s.stringValue(prefix+"release", &selector.Release)
	s.enumValue(prefix+"role", &selector.Role, memberRoles...)
	selector.Role = storedRole(selector.Role)
	return selector
}
