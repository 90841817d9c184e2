package coordination

import (
	"fmt"
	"time"
)

// recordFailedAttempt increments the member's FailedAttempts if the member restarted under a permit of the rollout's
// current phase and does not run its desired release. A permit that was requested for the update and ends during the
// rollback does not count, because the member did what that permit required.
func (s *State) recordFailedAttempt(member *Member, permit *Permit) {
	rollout := s.Rollout
	if !rollout.InProgress() || permit.Purpose != rollout.permitPurpose() {
		return
	}
	if member.Release != s.desiredRelease(member) {
		member.FailedAttempts++
	}
}

// permitPurpose returns the purpose of the permits that the rollout requests in its current phase.
func (r *Rollout) permitPurpose() PermitPurpose {
	if r.Phase == RolloutRollingBack {
		return PurposeRollback
	}
	return PurposeRollout
}

// desiredRelease returns the release that the rollout in progress brings the member to.
func (s *State) desiredRelease(member *Member) string {
	if s.Rollout.Phase == RolloutRollingBack {
		return member.PreviousRelease
	}
	return s.Rollout.TargetRelease
}

// advanceRollout advances the rollout by as many steps as the state allows.
func (s *State) advanceRollout() {
	rollout := s.Rollout
	for rollout.InProgress() {
		phase, wave := rollout.Phase, rollout.Wave
		s.stepRollout(rollout)
		if rollout.Phase == phase && rollout.Wave == wave {
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
			rollout.enterPhase(RolloutAnalyzing, s.Now)
			rollout.Analyzed = false
		}
	case RolloutAnalyzing:
		rollout.stepAnalysis(s.Now)
	case RolloutRollingBack:
		s.stepRollback(rollout)
	}
}

// stepAnalysis starts the next wave, or completes the rollout, once the pause has ended and a required verdict has
// been received.
func (r *Rollout) stepAnalysis(now time.Duration) {
	switch {
	case now-r.PhaseSince < r.Pause:
		r.WaitReason = fmt.Sprintf("wave %d is looked at", r.Wave+1)
	case r.AnalysisRequired && !r.Analyzed:
		r.WaitReason = fmt.Sprintf("the verdict on wave %d", r.Wave+1)
	case r.Wave+1 < len(r.WaveMembers):
		r.enterPhase(RolloutUpdating, now)
		r.Wave++
	default:
		r.enterPhase(RolloutCompleted, now)
		r.WaitReason = ""
	}
}

// stepRollback rolls back RollbackWavesAtOnce waves at the same time, which makes a rollback faster than the update.
// The same budgets apply.
func (s *State) stepRollback(rollout *Rollout) {
	firstWave := max(0, rollout.Wave+1-max(1, int(rollout.RollbackWavesAtOnce)))
	var names []Name
	for wave := rollout.Wave; wave >= firstWave; wave-- {
		names = append(names, rollout.WaveMembers[wave]...)
	}
	switch {
	case !s.convergeMembers(names):
	case firstWave == 0:
		rollout.enterPhase(RolloutRolledBack, s.Now)
		rollout.WaitReason = ""
	default:
		rollout.enterPhase(RolloutRollingBack, s.Now)
		rollout.Wave = firstWave - 1
	}
}

// convergeMembers requests permits for the members that are not on their desired release. It reports whether all
// members are up and on that release. If not, it sets the rollout's WaitReason to the reason for the first member that
// the rollout waits for.
func (s *State) convergeMembers(names []Name) bool {
	rollout := s.Rollout
	converged := true
	rollout.WaitReason = ""
	for _, name := range names {
		member := s.Members[name]
		if member == nil { // forgotten since the rollout started
			continue
		}
		reason := s.convergeMember(member)
		if reason == "" {
			continue
		}
		converged = false
		if rollout.WaitReason == "" {
			rollout.WaitReason = reason
		}
	}
	return converged
}

// convergeMember requests a permit for a member that needs one. It returns the reason why the rollout waits for the
// member, or an empty string if the member is up and on its desired release.
func (s *State) convergeMember(member *Member) string {
	if permit := s.Permits[member.PermitID]; permit != nil {
		return s.permitWaitReason(permit)
	}
	rollout := s.Rollout
	switch {
	case member.State != MemberUp:
		return fmt.Sprintf("%s is out: %s", member.Name, member.State)
	case member.Release == s.desiredRelease(member):
		return ""
	case member.FailedAttempts >= max(1, rollout.MaxAttempts):
		return fmt.Sprintf("%s came back %d times on %s", member.Name, member.FailedAttempts, member.Release)
	}
	reply := s.requestPermit(member.Name, rollout.Name, rollout.permitPurpose(), 0)
	if !reply.OK {
		return fmt.Sprintf("%s: %s", member.Name, reply.Reason)
	}
	return fmt.Sprintf("%s: permit %d is queued", member.Name, reply.PermitID)
}

// permitWaitReason returns the reason why the rollout waits for a member that has a permit.
func (s *State) permitWaitReason(permit *Permit) string {
	timeInStage := s.Now - permit.StageSince
	switch {
	case permit.Stage == PermitBegun && timeInStage > s.Config.StalledAfter:
		return fmt.Sprintf("%s has been out for %v and does not come back", permit.Member, timeInStage.Round(time.Second))
	case permit.Stage == PermitQueued && permit.WaitReason != "":
		return fmt.Sprintf("%s: %s", permit.Member, permit.WaitReason)
	}
	return fmt.Sprintf("%s: permit %d is %s", permit.Member, permit.ID, permit.Stage)
}
