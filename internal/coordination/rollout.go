package coordination

import (
	"maps"
	"slices"
	"time"
)

// Wave is a part of the fleet that a release goes to at one time: so many, such a share of all that it is meant for, or a zone's; the last wave takes
// the rest.
type Wave struct {
	Count    int     `json:"Count"`
	Fraction float64 `json:"Share"`
	Zone     string  `json:"Zone"`
}

// RolloutPlan is a release as it is told.
type RolloutPlan struct {
	Name                string        `json:"Name"`
	TargetRelease       string        `json:"To"` // the release that it brings
	Selector            Selector      `json:"Of"` // whom it is meant for
	Waves               []Wave        `json:"Waves"`
	Pause               time.Duration `json:"Pause"`  // after each wave, until it is judged at the earliest
	AnalysisRequired    bool          `json:"Judged"` // whether a wave waits for a verdict; else the pause alone counts
	RollbackWavesAtOnce float64       `json:"Faster"` // how many waves go back at a time
	MaxAttempts         int           `json:"Tries"`  // times that one may come back as it was before the release waits for an operator
}

// RolloutPhase is where a release stands.
type RolloutPhase string

const (
	RolloutUpdating    RolloutPhase = "going"
	RolloutAnalyzing   RolloutPhase = "judging"
	RolloutRollingBack RolloutPhase = "going back"
	RolloutCompleted   RolloutPhase = "done"
	RolloutRolledBack  RolloutPhase = "back"
)

// Rollout is one on its way. There is one at a time.
type Rollout struct {
	RolloutPlan
	RequestedBy string        `json:"By"`
	Phase       RolloutPhase  `json:"Phase"`
	Wave        int           `json:"Wave"` // from 0; of the way back the wave that it has come down to
	PhaseSince  time.Duration `json:"Since"`
	WaveMembers [][]Name      `json:"Of"`     // by wave, worked out when it starts
	WaitReason  string        `json:"Waits"`  // what it waits for
	Analyzed    bool          `json:"Judged"` // the wave has its verdict
	Reason      string        `json:"Why"`
}

// AppliesTo tells whether a release is meant for a member, whichever it has now.
func (r *Rollout) AppliesTo(observation Observation) bool {
	return r.Selector.matches(observation)
}

// InProgress tells whether a release is on its way.
func (r *Rollout) InProgress() bool {
	return r != nil && (r.Phase == RolloutUpdating || r.Phase == RolloutAnalyzing || r.Phase == RolloutRollingBack)
}

// startRollout begins a release. Danger: two operators that start two at once.
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
	var pending []*Member
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if member := s.Members[name]; plan.Selector.matches(member.Observation) && member.Release != plan.TargetRelease {
			pending = append(pending, member)
		}
	}
	if len(pending) == 0 {
		return refused("nobody in %v is on another release than %s", plan.Selector, plan.TargetRelease)
	}
	rollout := &Rollout{RolloutPlan: *plan, RequestedBy: command.RequestedBy, Phase: RolloutUpdating, PhaseSince: s.Now}
	total := len(pending)
	waves := append(slices.Clone(plan.Waves), Wave{Fraction: 1})
	for _, wave := range waves {
		count := wave.Count
		if count == 0 {
			count = max(1, int(wave.Fraction*float64(total)))
		}
		var waveMembers []Name
		pending = slices.DeleteFunc(pending, func(member *Member) bool {
			if len(waveMembers) >= count && wave.Zone == "" || wave.Zone != "" && member.Zone != wave.Zone {
				return false
			}
			waveMembers = append(waveMembers, member.Name)
			return true
		})
		if len(waveMembers) > 0 {
			rollout.WaveMembers = append(rollout.WaveMembers, waveMembers)
		}
	}
	for _, member := range s.Members {
		member.PreviousRelease, member.FailedAttempts = member.Release, 0
	}
	s.Rollout = rollout
	return Reply{OK: true}
}

// rollBack turns a release round: waves in reverse, under the same budgets. Also from a half-done wave, from a halt, and of one that is done.
func (s *State) rollBack(command Command) Reply {
	rollout := s.Rollout
	switch {
	case rollout == nil:
		return refused("there was no release")
	case rollout.Phase == RolloutRollingBack || rollout.Phase == RolloutRolledBack:
		return refused("release %s is %s", rollout.Name, rollout.Phase)
	}
	s.Halt = nil // the way back is what is to begin
	for _, permit := range s.permitsByID() {
		if permit.Purpose == "release" && permit.Stage != PermitBegun {
			s.endPermit(permit, "the release goes back")
		}
	}
	rollout.Phase, rollout.PhaseSince, rollout.Reason = RolloutRollingBack, s.Now, command.Reason
	rollout.Wave = min(rollout.Wave, len(rollout.WaveMembers)-1)
	for _, member := range s.Members {
		member.FailedAttempts = 0
	}
	return Reply{OK: true}
}

// applyVerdict takes what was judged of a wave. One that came late is of an earlier wave, and counts for nothing.
func (s *State) applyVerdict(command Command) Reply {
	rollout := s.Rollout
	switch {
	case rollout == nil || rollout.Name != command.RolloutName || rollout.Wave != command.Wave || rollout.Phase != RolloutUpdating && rollout.Phase != RolloutAnalyzing:
		return refused("no wave %d of %s is judged", command.Wave+1, command.RolloutName)
	case !command.Healthy: // also before the wave is whole
		rollout.Reason = command.Reason
		s.halt(command.RequestedBy, "release "+rollout.Name+": "+command.Reason)
	case rollout.Phase == RolloutAnalyzing:
		rollout.Analyzed = true
	default:
		return refused("wave %d of %s is not whole yet", command.Wave+1, command.RolloutName)
	}
	return Reply{OK: true}
}

// restartAnalysis has a wave judged anew: what was seen before the halt is over.
func (r *Rollout) restartAnalysis(now time.Duration) {
	if r.Phase == RolloutAnalyzing {
		r.PhaseSince, r.Analyzed = now, false
	}
}

// recordReturn takes a member that came back from a permit.
func (s *State) recordReturn(member *Member, permit *Permit) {
	// One that went out for the release before it turned round did what it was to do.
	if rollout := s.Rollout; rollout.InProgress() && permit.Purpose == rollout.permitPurpose() && member.Release != s.desiredRelease(member) {
		member.FailedAttempts++
	}
}

// permitPurpose is what its permits are for.
func (r *Rollout) permitPurpose() string {
	if r.Phase == RolloutRollingBack {
		return "back"
	}
	return "release"
}

// desiredRelease is the release that a member is to have by the one on its way.
func (s *State) desiredRelease(member *Member) string {
	if s.Rollout.Phase == RolloutRollingBack {
		return member.PreviousRelease
	}
	return s.Rollout.TargetRelease
}
