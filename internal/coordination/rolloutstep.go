package coordination

import (
	"fmt"
	"time"
)

// advanceRollout takes a release on by what has come to be, as far as that goes.
func (s *State) advanceRollout() {
	for rollout := s.Rollout; rollout.InProgress(); {
		phase, wave := rollout.Phase, rollout.Wave
		if s.stepRollout(rollout); rollout.Phase == phase && rollout.Wave == wave {
			return
		}
	}
}

func (s *State) stepRollout(rollout *Rollout) {
	if s.Halt != nil {
		rollout.WaitReason = "halted: " + s.Halt.Reason
		return
	}
	switch rollout.Phase {
	case RolloutUpdating:
		if s.convergeMembers(rollout.WaveMembers[rollout.Wave]) {
			rollout.Phase, rollout.PhaseSince, rollout.Analyzed = RolloutAnalyzing, s.Now, false
		}
	case RolloutAnalyzing:
		switch {
		case s.Now-rollout.PhaseSince < rollout.Pause:
			rollout.WaitReason = fmt.Sprintf("wave %d is looked at", rollout.Wave+1)
		case rollout.AnalysisRequired && !rollout.Analyzed:
			rollout.WaitReason = fmt.Sprintf("the verdict on wave %d", rollout.Wave+1)
		case rollout.Wave+1 < len(rollout.WaveMembers):
			rollout.Phase, rollout.Wave, rollout.PhaseSince = RolloutUpdating, rollout.Wave+1, s.Now
		default:
			rollout.Phase, rollout.PhaseSince, rollout.WaitReason = RolloutCompleted, s.Now, ""
		}
	case RolloutRollingBack:
		// Several waves at a time: faster than it came, and never by more than the budgets let out.
		firstWave := max(0, rollout.Wave+1-max(1, int(rollout.RollbackWavesAtOnce)))
		var names []Name
		for wave := rollout.Wave; wave >= firstWave; wave-- {
			names = append(names, rollout.WaveMembers[wave]...)
		}
		if !s.convergeMembers(names) {
			return
		}
		if firstWave == 0 {
			rollout.Phase, rollout.PhaseSince, rollout.WaitReason = RolloutRolledBack, s.Now, ""
			return
		}
		rollout.Wave, rollout.PhaseSince = firstWave-1, s.Now
	}
}

// convergeMembers has all of some members go over to the release that they are to have, and tells whether they all have, and are up.
func (s *State) convergeMembers(names []Name) bool {
	rollout := s.Rollout
	converged := true
	rollout.WaitReason = ""
	blockedBy := func(format string, args ...any) {
		converged = false
		if rollout.WaitReason == "" {
			rollout.WaitReason = fmt.Sprintf(format, args...)
		}
	}
	for _, name := range names {
		member := s.Members[name]
		if member == nil { // forgotten meanwhile
			continue
		}
		permit := s.Permits[member.PermitID]
		switch {
		case member.State == MemberUp && member.Release == s.desiredRelease(member) && permit == nil:
		case permit != nil && permit.Stage == PermitBegun && s.Now-permit.StageSince > s.Config.StalledAfter:
			blockedBy("%s has been out for %v and does not come back", name, (s.Now - permit.StageSince).Round(time.Second))
		case permit != nil && permit.Stage == PermitQueued && permit.WaitReason != "":
			blockedBy("%s: %s", name, permit.WaitReason)
		case permit != nil:
			blockedBy("%s: permit %d is %s", name, permit.ID, permit.Stage)
		case member.State != MemberUp:
			blockedBy("%s is out: %s", name, member.State)
		case member.FailedAttempts >= max(1, rollout.MaxAttempts):
			blockedBy("%s came back %d times on %s", name, member.FailedAttempts, member.Release)
		default:
			if reply := s.requestPermit(name, rollout.Name, rollout.permitPurpose(), 0); !reply.OK {
				blockedBy("%s: %s", name, reply.Reason)
			} else {
				blockedBy("%s: permit %d is queued", name, reply.PermitID)
			}
		}
	}
	return converged
}
