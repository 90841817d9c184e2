package config

import "lanewheel/internal/coordination"

// ParseBudgets parses the text of a file of disruption budgets, which an operator sends to the coordinators. The file
// consists of sections [budget NAME]. path is the name of the file in diagnostics. ParseBudgets logs a warning about
// earlier names. The error is a diagnostic.List with all errors.
func ParseBudgets(path string, text []byte) ([]coordination.DisruptionBudget, error) {
	r := newReader(path, text, &planRenames)
	var budgets []coordination.DisruptionBudget
	for _, s := range r.sectionsOfKind("budget") {
		budgets = append(budgets, s.readBudget())
	}
	if len(budgets) == 0 && len(r.diagnostics) == 0 {
		r.report("", "", "", "must contain a section [budget NAME]")
	}
	r.reportUnknownSections("budget")
	r.renamed.Warn()
	return budgets, r.diagnostics.Err()
}

// readBudget reads one budget. Exactly one of MaxUnavailable and MaxUnavailableFraction must be set; the other one is
// negative.
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
		s.report("max-unavailable", "", "must be set if and only if max-unavailable-fraction is not set")
	}
	s.floatValue("min-capacity", &budget.MinAvailableCapacity, 0, 1e9)
	s.reportUnknownNames()
	return budget
}

// readMemberSelector reads a selector of members from settings whose names begin with prefix.
func (s *section) readMemberSelector(prefix string) coordination.Selector {
	var selector coordination.Selector
	s.stringValue(prefix+"zone", &selector.Zone)
	s.stringValue(prefix+"release", &selector.Release)
	s.enumValue(prefix+"role", &selector.Role, memberRoles...)
	selector.Role = storedRole(selector.Role)
	return selector
}
