package coordination

import (
	"fmt"
)

// DisruptionBudget bounds how many of a group may be out at once. What is out for any reason counts.
type DisruptionBudget struct {
	Name                   string   `json:"Name"`
	Selector               Selector `json:"Of"`
	MaxUnavailable         int      `json:"Most"`  // at once; under 0: Share says
	MaxUnavailableFraction float64  `json:"Share"` // of the group
	MinAvailableCapacity   float64  `json:"Least"` // capacity that stays up
}

// unavailableLimit is how many of a budget's group may be out at once, of so many.
func (b DisruptionBudget) unavailableLimit(groupSize int) int {
	if b.MaxUnavailable >= 0 {
		return b.MaxUnavailable
	}
	return int(b.MaxUnavailableFraction * float64(groupSize))
}

// BudgetUsage is how a budget stands.
type BudgetUsage struct {
	Budget            DisruptionBudget `json:"Budget"`
	Members           int              `json:"Of"`    // members of the group
	Unavailable       int              `json:"Out"`   // of them, for any reason, permits that have been granted among them
	UnavailableLimit  int              `json:"Limit"` // that may be
	AvailableCapacity float64          `json:"Up"`    // capacity
}

// isUnavailable tells whether a member is out, or may be at any moment without asking again.
func (s *State) isUnavailable(member *Member) bool {
	if member.State != MemberUp {
		return true
	}
	permit := s.Permits[member.PermitID]
	return permit != nil && permit.Stage != PermitQueued
}

// Usage works out how a budget stands.
func (s *State) Usage(budget DisruptionBudget) (usage BudgetUsage) {
	usage.Budget = budget
	for _, member := range s.Members {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		usage.Members++
		if s.isUnavailable(member) {
			usage.Unavailable++
		} else {
			usage.AvailableCapacity += member.Capacity
		}
	}
	usage.UnavailableLimit = budget.unavailableLimit(usage.Members)
	return usage
}

// checkBudgets tells whether one more member may go out now, else what that waits for; never is that no order of things would let it.
func (s *State) checkBudgets(member *Member) (reason string, impossible bool) {
	if len(s.Budgets) == 0 {
		return "there is no budget", true
	}
	covered := false
	for _, budget := range s.Budgets {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		covered = true
		usage := s.Usage(budget)
		groupCapacity := 0.0
		for _, other := range s.Members {
			if budget.Selector.matches(other.Observation) {
				groupCapacity += other.Capacity
			}
		}
		switch {
		case usage.UnavailableLimit < 1:
			return fmt.Sprintf("budget %s lets none of %d go out", budget.Name, usage.Members), true
		case groupCapacity-member.Capacity < budget.MinAvailableCapacity:
			return fmt.Sprintf("budget %s wants %g cores up, and all but this one have %g", budget.Name, budget.MinAvailableCapacity, groupCapacity-member.Capacity), true
		case reason != "":
		case usage.Unavailable+1 > usage.UnavailableLimit:
			reason = fmt.Sprintf("budget %s: %d of %d out, %d may be", budget.Name, usage.Unavailable, usage.Members, usage.UnavailableLimit)
		case usage.AvailableCapacity-member.Capacity < budget.MinAvailableCapacity:
			reason = fmt.Sprintf("budget %s: %g cores up, %g wanted", budget.Name, usage.AvailableCapacity, budget.MinAvailableCapacity)
		}
	}
	if !covered {
		return "no budget speaks of it", true
	}
	return reason, false
}

// overdrawnBudget tells which budget of a member is over its limit.
func (s *State) overdrawnBudget(member *Member) string {
	for _, budget := range s.Budgets {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		if usage := s.Usage(budget); usage.Unavailable > usage.UnavailableLimit || usage.AvailableCapacity < budget.MinAvailableCapacity {
			return fmt.Sprintf("budget %s: %d of %d out, %d may be", budget.Name, usage.Unavailable, usage.Members, usage.UnavailableLimit)
		}
	}
	return ""
}
