package coordination

import (
	"maps"
	"slices"
	"time"
)

// Wave is a part of the fleet that a rollout goes to at one time. What the waves of a plan leave is a last wave.
type Wave struct {
	Count    int     `json:"Count"` // members; 0: Fraction applies
	Fraction float64 `json:"Share"` // of all that the rollout updates; at least one member
	Zone     string  `json:"Zone"`  // all of a zone, in place of a number
}

// RolloutPlan is a rollout as it is requested.
type RolloutPlan struct {
	Name                string        `json:"Name"`
	TargetRelease       string        `json:"To"`
	Selector            Selector      `json:"Of"` // the members that it is meant for
	Waves               []Wave        `json:"Waves"`
	Pause               time.Duration `json:"Pause"`  // after each wave, before the next one at the earliest
	AnalysisRequired    bool          `json:"Judged"` // a wave waits for its verdict; else for the pause alone
	RollbackWavesAtOnce float64       `json:"Faster"` // waves that are rolled back at the same time
	MaxAttempts         int           `json:"Tries"`  // permits of a member that may fail before an operator is waited for
}

// RolloutPhase is where a rollout stands. Its values are stored.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutUpdating    RolloutPhase = "going"
	RolloutAnalyzing   RolloutPhase = "judging" // the wave is updated: its pause and its verdict are waited for
	RolloutRollingBack RolloutPhase = "going back"
	RolloutCompleted   RolloutPhase = "done"
	RolloutRolledBack  RolloutPhase = "back"
)

// Rollout is a plan on its way. There is one at a time.
//
// Known fault: WaveMembers and Analyzed have the stored names of the plan's Selector and AnalysisRequired, "Of" and
// "Judged". encoding/json writes and reads the outer fields alone, so a snapshot does not hold those two of the plan:
// a state restored from it selects all members and waits for no verdict. A repair changes what is stored.
type Rollout struct {
	RolloutPlan
	RequestedBy string        `json:"By"`
	Phase       RolloutPhase  `json:"Phase"`
	Wave        int           `json:"Wave"` // from 0; in a rollback the latest one that is not rolled back
	PhaseSince  time.Duration `json:"Since"`
	WaveMembers [][]Name      `json:"Of"` // by wave, worked out at the start; hides RolloutPlan.Selector when stored
	WaitReason  string        `json:"Waits"`
	Analyzed    bool          `json:"Judged"` // the wave has passed; hides RolloutPlan.AnalysisRequired when stored
	Reason      string        `json:"Why"`    // of the failed verdict or the rollback
}

// AppliesTo tells whether the rollout is meant for a member, on whatever release that is now.
func (r *Rollout) AppliesTo(observation Observation) bool {
	return r.Selector.matches(observation)
}

// InProgress tells whether there is a rollout that is not over. It may be called on nil.
func (r *Rollout) InProgress() bool {
	return r != nil && (r.Phase == RolloutUpdating || r.Phase == RolloutAnalyzing || r.Phase == RolloutRollingBack)
}

// enterPhase is the change to a phase, also to the same one for another wave.
func (r *Rollout) enterPhase(phase RolloutPhase, now time.Duration) {
	r.Phase = phase
	r.PhaseSince = now
}

// startRollout starts a rollout unless one is in progress: of two that operators start at once one is refused.
func (s *State) startRollout(command Command) Reply {
	plan := command.Plan
	switch {
	case plan == nil || plan.Name == "" || plan.TargetRelease == "":
		return refused("wants a name, and the release that it brings")
	case s.Rollout.InProgress():
		return refused("release %s is %s", s.Rollout.Name, s.Rollout.Phase)
	case s.Halt != nil:
		return refused("halted: %s", s.Halt.Reason)
	}
	var outdated []*Member
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		if plan.Selector.matches(member.Observation) && member.Release != plan.TargetRelease {
			outdated = append(outdated, member)
		}
	}
	if len(outdated) == 0 {
		return refused("nobody in %v is on another release than %s", plan.Selector, plan.TargetRelease)
	}
	for _, member := range s.Members {
		member.PreviousRelease = member.Release
		member.FailedAttempts = 0
	}
	s.Rollout = &Rollout{
		RolloutPlan: *plan,
		RequestedBy: command.RequestedBy,
		Phase:       RolloutUpdating,
		PhaseSince:  s.Now,
		WaveMembers: plan.assignWaves(outdated),
	}
	return Reply{OK: true}
}

// assignWaves divides the members among the plan's waves, and what is left makes a last one. Empty waves are left out.
func (p *RolloutPlan) assignWaves(members []*Member) [][]Name {
	total := len(members)
	var assigned [][]Name
	for _, wave := range append(slices.Clone(p.Waves), Wave{Fraction: 1}) {
		count := wave.Count
		if count == 0 {
			count = max(1, int(wave.Fraction*float64(total)))
		}
		var names []Name
		members = slices.DeleteFunc(members, func(member *Member) bool {
			belongs := len(names) < count
			if wave.Zone != "" {
				belongs = member.Zone == wave.Zone
			}
			if belongs {
				names = append(names, member.Name)
			}
			return belongs
		})
		if len(names) > 0 {
			assigned = append(assigned, names)
		}
	}
	return assigned
}

// rollBack rolls the latest rollout back: its waves in reverse, under the same budgets. It may be in the middle of a
// wave, halted or completed.
func (s *State) rollBack(command Command) Reply {
	rollout := s.Rollout
	switch {
	case rollout == nil:
		return refused("there was no release")
	case rollout.Phase == RolloutRollingBack || rollout.Phase == RolloutRolledBack:
		return refused("release %s is %s", rollout.Name, rollout.Phase)
	}
	s.Halt = nil // a halt would keep the rollback itself from beginning
	for _, permit := range s.permitsByID() {
		if permit.Purpose == PurposeRollout && permit.Stage != PermitBegun {
			s.endPermit(permit, "the release goes back")
		}
	}
	rollout.enterPhase(RolloutRollingBack, s.Now)
	rollout.Reason = command.Reason
	rollout.Wave = min(rollout.Wave, len(rollout.WaveMembers)-1)
	for _, member := range s.Members {
		member.FailedAttempts = 0
	}
	return Reply{OK: true}
}

// awaitsVerdict tells whether a verdict on a wave of a rollout can still count.
func (r *Rollout) awaitsVerdict(name string, wave int) bool {
	return r != nil && r.Name == name && r.Wave == wave && (r.Phase == RolloutUpdating || r.Phase == RolloutAnalyzing)
}

// applyVerdict takes in a verdict on the current wave; a late one on an earlier wave is refused. A wave can fail
// before it is updated whole, and passes only afterwards.
func (s *State) applyVerdict(command Command) Reply {
	rollout := s.Rollout
	switch {
	case !rollout.awaitsVerdict(command.RolloutName, command.Wave):
		return refused("no wave %d of %s is judged", command.Wave+1, command.RolloutName)
	case !command.Healthy:
		rollout.Reason = command.Reason
		s.halt(command.RequestedBy, "release "+rollout.Name+": "+command.Reason)
	case rollout.Phase == RolloutAnalyzing:
		rollout.Analyzed = true
	default:
		return refused("wave %d of %s is not whole yet", command.Wave+1, command.RolloutName)
	}
	return Reply{OK: true}
}

// restartAnalysis has the wave analyzed anew after a halt: what was measured before does not count.
func (r *Rollout) restartAnalysis(now time.Duration) {
	if r.Phase == RolloutAnalyzing {
		r.PhaseSince = now
		r.Analyzed = false
	}
}
