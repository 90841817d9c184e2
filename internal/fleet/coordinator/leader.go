package coordinator

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// leadership is what the one that leads keeps beside the state: nothing of it is needed by the next one.
type leadership struct {
	term               uint64
	startedAt          time.Time
	reported           map[coordination.Name]coordination.Observation
	lastTick           time.Time
	notifiedAt         map[coordination.PermitID]time.Time
	restarts           map[coordination.PermitID]*restartState
	analyzedWave       string // the wave whose windows are gathered
	analysis           *canary.Analysis
	windowStart        time.Time
	mu                 sync.Mutex // guards figures
	previousStats      map[coordination.Name]memberStats
	currentStats       map[coordination.Name]memberStats
	canaryIncarnations map[coordination.Name]membership.Incarnation // of the new release, at the window before
}

// leadLoop does, for as long as this one leads, what the leader does.
func (s *Coordinator) leadLoop() {
	defer s.loops.Done()
	const tickInterval = 100 * time.Millisecond
	for ticker := time.NewTicker(tickInterval); ; {
		select {
		case <-s.closed:
			ticker.Stop()
			return
		case <-ticker.C:
		}
		term, isLeader := s.replica.leaderTerm()
		if !isLeader {
			if s.leadership != nil {
				slog.Info("steward", "leads", false, "term", s.leadership.term)
			}
			s.leadership = nil
			continue
		}
		if s.leadership == nil || s.leadership.term != term {
			// Danger: what was agreed before is in the log and not yet in the state. Nothing is decided before it is.
			if s.replica.raft.Barrier(5*time.Second).Error() != nil {
				continue
			}
			slog.Info("steward", "leads", true, "term", term)
			s.leadership = &leadership{term: term, startedAt: time.Now(), notifiedAt: map[coordination.PermitID]time.Time{}, restarts: map[coordination.PermitID]*restartState{}, canaryIncarnations: map[coordination.Name]membership.Incarnation{}}
		}
		s.leaderRound()
	}
}

// propose fills in when a command is given, and has it agreed on.
func (s *Coordinator) propose(command coordination.Command) (coordination.Reply, error) {
	term, isLeader := s.replica.leaderTerm()
	if !isLeader {
		return coordination.Reply{}, client.ErrNoQuorum
	}
	command.Term, command.LeaderTime = term, time.Since(s.startedAt) // by the clock that does not jump
	return s.replica.apply(command)
}

// leaderRound is one round of the leader's: what it sees, what time it is, whom it nudges, what is judged and started.
func (s *Coordinator) leaderRound() {
	lead := s.leadership
	if !s.reportMembers() {
		return
	}
	active, halted := false, false
	type nudge struct {
		coordination.Permit
		here, gone bool
		before     string
	}
	var notices []nudge
	var rollout *coordination.Rollout
	s.replica.inspect(func(state *coordination.State) {
		active, halted = len(state.Permits) > 0 || state.Rollout.InProgress(), state.Halt != nil
		for _, permit := range state.Permits {
			if member := state.Members[permit.Member]; member != nil && permit.Stage != coordination.PermitQueued {
				notices = append(notices, nudge{*permit, member.State == coordination.MemberUp && member.Incarnation == permit.Incarnation, member.State == coordination.MemberGone, member.PreviousRelease})
			}
		}
		if state.Rollout != nil {
			copied := *state.Rollout
			rollout = &copied
		}
	})
	// At rest time need not pass often.
	if pause := time.Second; time.Since(lead.lastTick) > pause/4 && active || time.Since(lead.lastTick) > 5*pause {
		lead.lastTick = time.Now()
		if _, err := s.propose(coordination.Command{Kind: coordination.KindTick}); err != nil {
			return
		}
	}
	for _, notice := range notices {
		switch {
		case notice.here && time.Since(lead.notifiedAt[notice.ID]) > 500*time.Millisecond: // until it has gone: a word may be lost
			lead.notifiedAt[notice.ID] = time.Now()
			s.fleet.NotifyPermit(notice.Member, notice.Incarnation, uint64(notice.ID), notice.Stage == coordination.PermitBegun)
		// Who was drained stays out until his operator starts him. Danger: one that is still serving is started a second time.
		case notice.gone && notice.Stage == coordination.PermitBegun && notice.Purpose != "drain" && rollout != nil && s.config.RestartCommand != "":
			targetRelease := rollout.TargetRelease
			if notice.Purpose == "back" {
				targetRelease = notice.before
			}
			restart := lead.restarts[notice.ID]
			if restart == nil {
				restart = &restartState{}
				lead.restarts[notice.ID] = restart
			}
			s.scheduleRestart(restart, notice.Permit, targetRelease)
		}
	}
	switch {
	case halted: // what is seen meanwhile is of a wave that is judged anew once that is over
		lead.analyzedWave = ""
	case rollout.InProgress() && rollout.AnalysisRequired && rollout.Phase != coordination.RolloutRollingBack:
		s.analyzeWave(rollout)
	}
}

// memberStates is why a member is out, by how it is seen.
var memberStates = map[membership.State]coordination.MemberState{
	membership.StateUp:      coordination.MemberUp,
	membership.StateWarming: coordination.MemberWarmingUp,
	membership.StateJoining: coordination.MemberJoining,
	membership.StateSuspect: coordination.MemberSuspect,
	membership.StateLeaving: coordination.MemberLeaving,
	membership.StateGone:    coordination.MemberGone,
	membership.StateFenced:  coordination.MemberGone,
}

// reportMembers says what has changed among the members, and tells whether what it sees can be trusted. Danger: a leader that is cut off from the fleet and not from
// the other stewards sees all as gone, or all as they were.
func (s *Coordinator) reportMembers() bool {
	view := s.fleet.View()
	if !view.LocalHealth.CanDeclareGone() {
		return false
	}
	lead := s.leadership
	current := map[coordination.Name]coordination.Observation{}
	add := func(claim membership.Descriptor, state coordination.MemberState) {
		observation := coordination.Observation{Name: claim.Name, Incarnation: claim.Incarnation, Zone: claim.Zone, Release: claim.Release, Roles: claim.Roles, Capacity: claim.Capacity, State: state}
		if claim.Roles&membership.RoleUpstream != 0 {
			observation.Upstream = string(claim.Name)
		}
		current[claim.Name] = observation
	}
	for member := range view.All() {
		add(member.Descriptor, memberStates[member.State])
	}
	add(view.Self, coordination.MemberUp)
	var changed []coordination.Observation
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if previous, known := lead.reported[name]; !known || previous != current[name] {
			changed = append(changed, current[name])
		}
	}
	for name, previous := range lead.reported { // forgotten by the membership: it was gone for long
		if _, known := current[name]; !known && previous.State != coordination.MemberGone {
			previous.State = coordination.MemberGone
			changed = append(changed, previous)
			current[name] = previous
		}
	}
	if len(changed) == 0 {
		return true
	}
	if _, err := s.propose(coordination.Command{Kind: coordination.KindObserve, Observations: changed}); err != nil {
		return false
	}
	lead.reported = current
	return true
}
