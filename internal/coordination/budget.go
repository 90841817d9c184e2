package coordination

import (
	"fmt"
	"iter"
	"math"
	"slices"
)

// DisruptionBudget limits how many of the members that it selects may be unavailable at once, for any reason.
type DisruptionBudget struct {
	Name                   string   `json:"Name"`
	Selector               Selector `json:"Of"`
	MaxUnavailable         int      `json:"Most"`  // unavailable members at once; negative: MaxUnavailableFraction applies
	MaxUnavailableFraction float64  `json:"Share"` // fraction of the selected members, from 0 to 1
	MinAvailableCapacity   float64  `json:"Least"` // cores that must stay available
}

// isValid reports whether the budget has a name and valid limits.
func (b DisruptionBudget) isValid() bool {
	if b.Name == "" || math.IsNaN(b.MinAvailableCapacity) {
		return false
	}
	return b.MaxUnavailable >= 0 || b.MaxUnavailableFraction >= 0 && b.MaxUnavailableFraction <= 1
}

// unavailableLimit returns how many members of a group of this size may be unavailable at once.
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

// budgetsOf yields the budgets that select the member.
func (s *State) budgetsOf(member *Member) iter.Seq[DisruptionBudget] {
	return func(yield func(DisruptionBudget) bool) {
		for _, budget := range s.Budgets {
			if budget.Selector.matches(member.Observation) && !yield(budget) {
				return
			}
		}
	}
}

// BudgetUsage is the current usage of a budget.
type BudgetUsage struct {
	Budget            DisruptionBudget `json:"Budget"`
	Members           int              `json:"Of"`    // number of selected members
	Unavailable       int              `json:"Out"`   // members that are not up or hold a granted or begun permit
	UnavailableLimit  int              `json:"Limit"` // maximum number that the budget allows for Unavailable
	AvailableCapacity float64          `json:"Up"`    // cores of the selected members that Unavailable does not count
}

// groupUsage is a budget's usage with the total capacity, which shows whether a member can ever become unavailable.
type groupUsage struct {
	BudgetUsage
	totalCapacity float64 // cores of all members that the budget selects
}

// isUnavailable reports whether a member is unavailable or may become unavailable at any moment, because it holds a
// granted or begun permit.
func (s *State) isUnavailable(member *Member) bool {
	if member.State != MemberUp {
		return true
	}
	permit := s.Permits[member.PermitID]
	return permit != nil && permit.Stage != PermitQueued
}

// Usage returns the current usage of a budget.
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

// limitReason describes for operators how many of the budget's members are unavailable and how many may be.
func (u BudgetUsage) limitReason() string {
	return fmt.Sprintf("budget %s: %d of %d out, %d may be",
		u.Budget.Name, u.Unavailable, u.Members, u.UnavailableLimit)
}

// impossibleReason returns the reason why the budget does not allow the member to become unavailable even if all other
// members are available. It returns an empty string if the budget allows it.
func (u groupUsage) impossibleReason(member *Member) string {
	remainingCapacity := u.totalCapacity - member.Capacity
	switch {
	case u.UnavailableLimit < 1:
		return fmt.Sprintf("budget %s lets none of %d go out", u.Budget.Name, u.Members)
	case remainingCapacity < u.Budget.MinAvailableCapacity:
		return fmt.Sprintf("budget %s wants %g cores up, and all but this one have %g",
			u.Budget.Name, u.Budget.MinAvailableCapacity, remainingCapacity)
	}
	return ""
}

// blockedReason returns the reason why the member may not become unavailable now, or an empty string if it may.
func (u BudgetUsage) blockedReason(member *Member) string {
	switch {
	case u.Unavailable+1 > u.UnavailableLimit:
		return u.limitReason()
	case u.AvailableCapacity-member.Capacity < u.Budget.MinAvailableCapacity:
		return fmt.Sprintf("budget %s: %g cores up, %g wanted",
			u.Budget.Name, u.AvailableCapacity, u.Budget.MinAvailableCapacity)
	}
	return ""
}

// budgetCheck is the result of checking whether a member may become unavailable. The zero value means that it may.
type budgetCheck struct {
	reason     string // reason why the member has to wait; empty: it may become unavailable now
	impossible bool   // the member would wait forever: the budgets never allow it
}

// checkBudgets checks whether all budgets that select the member allow it to become unavailable now. A member that no
// budget selects is never allowed to become unavailable.
func (s *State) checkBudgets(member *Member) budgetCheck {
	if len(s.Budgets) == 0 {
		return budgetCheck{reason: "there is no budget", impossible: true}
	}
	covered := false
	reason := ""
	for budget := range s.budgetsOf(member) {
		covered = true
		usage := s.groupUsage(budget)
		if impossible := usage.impossibleReason(member); impossible != "" {
			return budgetCheck{reason: impossible, impossible: true}
		}
		if reason == "" {
			reason = usage.blockedReason(member)
		}
	}
	if !covered {
		return budgetCheck{reason: "no budget speaks of it", impossible: true}
	}
	return budgetCheck{reason: reason}
}

// exceededBudget describes the first budget that selects the member and whose limits are exceeded. It returns an empty
// string if there is none.
func (s *State) exceededBudget(member *Member) string {
	for budget := range s.budgetsOf(member) {
		usage := s.Usage(budget)
		if usage.Unavailable > usage.UnavailableLimit || usage.AvailableCapacity < budget.MinAvailableCapacity {
			return usage.limitReason()
		}
	}
	return ""
}
