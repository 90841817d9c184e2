package coordination

import (
	"maps"
	"slices"
	"time"
)

// Wave is a group of members that a rollout updates together. Members that no wave of the plan includes form an
// additional last wave.
type Wave struct {
	Count    int     `json:"Count"` // number of members; 0: Fraction applies
	Fraction float64 `json:"Share"` // of all members that the rollout updates; at least one member
	Zone     string  `json:"Zone"`  // if set, all members of this zone, in place of Count and Fraction
}

// RolloutPlan is a rollout as requested by an operator.
type RolloutPlan struct {
	Name                string        `json:"Name"`
	TargetRelease       string        `json:"To"`
	Selector            Selector      `json:"Of"` // members that the rollout applies to
	Waves               []Wave        `json:"Waves"`
	Pause               time.Duration `json:"Pause"`  // minimum time between the end of a wave and the next one
	AnalysisRequired    bool          `json:"Judged"` // besides the pause, the rollout waits for a verdict on each wave
	RollbackWavesAtOnce float64       `json:"Faster"` // number of waves that are rolled back at the same time
	MaxAttempts         int           `json:"Tries"`  // failed attempts of a member after which an operator must act
}

// RolloutPhase is the phase of a rollout. Its values are stored.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutUpdating    RolloutPhase = "going"
	RolloutAnalyzing   RolloutPhase = "judging" // the wave is updated; its pause has not ended or its verdict is missing
	RolloutRollingBack RolloutPhase = "going back"
	RolloutCompleted   RolloutPhase = "done"
	RolloutRolledBack  RolloutPhase = "back"
)

// Rollout is a plan with the state of its execution. At most one rollout is in progress at a time.
//
// Known fault: WaveMembers and Analyzed have the same stored names, "Of" and "Judged", as the plan's Selector and
// AnalysisRequired. encoding/json writes and reads only the outer fields, so a snapshot does not contain these two
// fields of the plan. After a state is restored from a snapshot, its rollout selects all members and waits for no
// verdict. A fix would change the stored form.
type Rollout struct {
	RolloutPlan
	RequestedBy string        `json:"By"`
	Phase       RolloutPhase  `json:"Phase"`
	Wave        int           `json:"Wave"` // from 0; during a rollback the last wave that is not rolled back yet
	PhaseSince  time.Duration `json:"Since"`
	WaveMembers [][]Name      `json:"Of"` // by wave, set at the start; hides RolloutPlan.Selector when stored
	WaitReason  string        `json:"Waits"`
	Analyzed    bool          `json:"Judged"` // the wave has passed; hides RolloutPlan.AnalysisRequired when stored
	Reason      string        `json:"Why"`    // reason for the failed verdict or for the rollback
}

// AppliesTo reports whether the rollout's selector matches a member. The member may already run the target release.
func (r *Rollout) AppliesTo(observation Observation) bool {
	return r.Selector.matches(observation)
}

// InProgress reports whether there is a rollout that has neither completed nor been rolled back. It may be called on
// nil.
func (r *Rollout) InProgress() bool {
	return r != nil && (r.Phase == RolloutUpdating || r.Phase == RolloutAnalyzing || r.Phase == RolloutRollingBack)
}

// enterPhase changes the phase and records the time of the change. It is also called with the same phase for another
// wave.
func (r *Rollout) enterPhase(phase RolloutPhase, now time.Duration) {
	r.Phase = phase
	r.PhaseSince = now
}

// startRollout starts a rollout. It refuses the command while another rollout is in progress: if two operators start
// rollouts at the same time, only the first one starts.
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

// assignWaves divides the members among the plan's waves. The remaining members form a last wave. Waves without members
// are omitted.
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

// rollBack starts to roll back the latest rollout: its waves in reverse order, under the same budgets. The rollout may
// be in the middle of a wave, halted or completed.
func (s *State) rollBack(command Command) Reply {
	rollout := s.Rollout
	switch {
	case rollout == nil:
		return refused("there was no release")
	case rollout.Phase == RolloutRollingBack || rollout.Phase == RolloutRolledBack:
		return refused("release %s is %s", rollout.Name, rollout.Phase)
	}
	s.Halt = nil // a halt would also stop the rollback
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

// awaitsVerdict reports whether a verdict on a wave of the named rollout can still be applied. It may be called on nil.
func (r *Rollout) awaitsVerdict(name string, wave int) bool {
	return r != nil && r.Name == name && r.Wave == wave && (r.Phase == RolloutUpdating || r.Phase == RolloutAnalyzing)
}

// applyVerdict applies a verdict on the current wave. A late verdict on an earlier wave is refused. A wave can fail
// before all of its members are updated, but can pass only afterwards.
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

// restartAnalysis restarts the analysis of the wave after a halt. Measurements from before the halt do not count.
func (r *Rollout) restartAnalysis(now time.Duration) {
	if r.Phase == RolloutAnalyzing {
		r.PhaseSince = now
		r.Analyzed = false
	}
}
