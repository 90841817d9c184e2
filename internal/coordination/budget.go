package coordination

import (
	"fmt"
	"iter"
	"math"
	"slices"
)

// DisruptionBudget bounds how many of the members that it selects may be out at once, for whatever reason.
type DisruptionBudget struct {
	Name                   string   `json:"Name"`
	Selector               Selector `json:"Of"`
	MaxUnavailable         int      `json:"Most"`  // members out at once; negative: MaxUnavailableFraction applies
	MaxUnavailableFraction float64  `json:"Share"` // of the members selected, 0 to 1
	MinAvailableCapacity   float64  `json:"Least"` // cores that stay up
}

// isValid tells whether the budget has a name and a bound.
func (b DisruptionBudget) isValid() bool {
	if b.Name == "" || math.IsNaN(b.MinAvailableCapacity) {
		return false
	}
	return b.MaxUnavailable >= 0 || b.MaxUnavailableFraction >= 0 && b.MaxUnavailableFraction <= 1
}

// unavailableLimit is how many of a group of this size may be out at once.
func (b DisruptionBudget) unavailableLimit(groupSize int) int {
	if b.MaxUnavailable >= 0 {
		return b.MaxUnavailable
	}
	return int(b.MaxUnavailableFraction * float64(groupSize))
}

func (s *State) setBudgets(budgets []DisruptionBudget) Reply {
	for _, budget := range budgets {
		if !budget.isValid() {
			return refused("budget %q: wants a name, and most or a share from 0 to 1", budget.Name)
		}
	}
	s.Budgets = slices.Clone(budgets)
	return Reply{OK: true}
}

// budgetsOf yields the budgets that select a member.
func (s *State) budgetsOf(member *Member) iter.Seq[DisruptionBudget] {
	return func(yield func(DisruptionBudget) bool) {
		for _, budget := range s.Budgets {
			if budget.Selector.matches(member.Observation) && !yield(budget) {
				return
			}
		}
	}
}

// BudgetUsage is how much of a budget is used.
type BudgetUsage struct {
	Budget            DisruptionBudget `json:"Budget"`
	Members           int              `json:"Of"`    // selected
	Unavailable       int              `json:"Out"`   // of them, those with a granted permit included
	UnavailableLimit  int              `json:"Limit"` // members
	AvailableCapacity float64          `json:"Up"`    // cores
}

// groupUsage is a budget's usage with what decides whether a member could ever go out.
type groupUsage struct {
	BudgetUsage
	totalCapacity float64 // cores of all that the budget selects
}

// isUnavailable tells whether a member is out, or may go out at any moment without asking again.
func (s *State) isUnavailable(member *Member) bool {
	if member.State != MemberUp {
		return true
	}
	permit := s.Permits[member.PermitID]
	return permit != nil && permit.Stage != PermitQueued
}

// Usage works out how much of a budget is used.
func (s *State) Usage(budget DisruptionBudget) BudgetUsage { return s.groupUsage(budget).BudgetUsage }

func (s *State) groupUsage(budget DisruptionBudget) groupUsage {
	usage := groupUsage{BudgetUsage: BudgetUsage{Budget: budget}}
	for _, member := range s.Members {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		usage.Members++
		usage.totalCapacity += member.Capacity
		if s.isUnavailable(member) {
			usage.Unavailable++
		} else {
			usage.AvailableCapacity += member.Capacity
		}
	}
	usage.UnavailableLimit = budget.unavailableLimit(usage.Members)
	return usage
}

// limitReason tells which limit the usage is at, in words for operators.
func (u BudgetUsage) limitReason() string {
	return fmt.Sprintf("budget %s: %d of %d out, %d may be",
		u.Budget.Name, u.Unavailable, u.Members, u.UnavailableLimit)
}

// impossibleFor tells why a member could not go out even if all others were up, empty if it could.
func (u groupUsage) impossibleFor(member *Member) string {
	others := u.totalCapacity - member.Capacity
	switch {
	case u.UnavailableLimit < 1:
		return fmt.Sprintf("budget %s lets none of %d go out", u.Budget.Name, u.Members)
	case others < u.Budget.MinAvailableCapacity:
		return fmt.Sprintf("budget %s wants %g cores up, and all but this one have %g",
			u.Budget.Name, u.Budget.MinAvailableCapacity, others)
	}
	return ""
}

// blockedFor tells why a member may not go out now, empty if it may.
func (u BudgetUsage) blockedFor(member *Member) string {
	switch {
	case u.Unavailable+1 > u.UnavailableLimit:
		return u.limitReason()
	case u.AvailableCapacity-member.Capacity < u.Budget.MinAvailableCapacity:
		return fmt.Sprintf("budget %s: %g cores up, %g wanted",
			u.Budget.Name, u.AvailableCapacity, u.Budget.MinAvailableCapacity)
	}
	return ""
}

// budgetCheck is whether one more member may go out. The zero value is that it may.
type budgetCheck struct {
	reason     string // what it waits for; empty: it may go out now
	impossible bool   // no order of events would let it go out
}

// checkBudgets tells whether a member may go out now by all budgets that select it.
func (s *State) checkBudgets(member *Member) budgetCheck {
	if len(s.Budgets) == 0 {
		return budgetCheck{reason: "there is no budget", impossible: true}
	}
	covered := false
	reason := ""
	for budget := range s.budgetsOf(member) {
		covered = true
		usage := s.groupUsage(budget)
		if never := usage.impossibleFor(member); never != "" {
			return budgetCheck{reason: never, impossible: true}
		}
		if reason == "" {
			reason = usage.blockedFor(member)
		}
	}
	if !covered {
		return budgetCheck{reason: "no budget speaks of it", impossible: true}
	}
	return budgetCheck{reason: reason}
}

// overdrawnBudget names the first budget of a member that is over its limit, empty if none is.
func (s *State) overdrawnBudget(member *Member) string {
	for budget := range s.budgetsOf(member) {
		usage := s.Usage(budget)
		if usage.Unavailable > usage.UnavailableLimit || usage.AvailableCapacity < budget.MinAvailableCapacity {
			return usage.limitReason()
		}
	}
	return ""
}
