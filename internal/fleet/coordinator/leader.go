package coordinator

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

const (
	leaderRoundInterval = 100 * time.Millisecond
	barrierTimeout      = 5 * time.Second
	activeTickInterval  = 250 * time.Millisecond // while there is a permit or a rollout
	idleTickInterval    = 5 * time.Second
	notifyInterval      = 500 * time.Millisecond // holders are notified repeatedly, as a message may be lost
)

// leadership holds a leader's data that is not part of the replicated state. The next leader starts without it. It is
// owned by leadLoop.
type leadership struct {
	term       uint64
	reported   map[coordination.Name]coordination.Observation // the latest committed observation of each member
	lastTick   time.Time
	notifiedAt map[coordination.PermitID]time.Time
	restarts   map[coordination.PermitID]*restartState
	analysis   waveAnalysis
	// canaryIncarnations holds the incarnations of the new release's members in the previous window.
	canaryIncarnations map[coordination.Name]membership.Incarnation
}

// newLeadership returns the empty leadership of a term.
func newLeadership(term uint64) *leadership {
	return &leadership{
		term:               term,
		notifiedAt:         map[coordination.PermitID]time.Time{},
		restarts:           map[coordination.PermitID]*restartState{},
		canaryIncarnations: map[coordination.Name]membership.Incarnation{},
	}
}

// leadLoop runs a leader round every leaderRoundInterval while this coordinator is the leader. It returns when the
// coordinator is closed.
func (c *Coordinator) leadLoop() {
	defer c.loops.Done()
	ticker := time.NewTicker(leaderRoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		if c.refreshLeadership() {
			c.leaderRound()
		}
	}
}

// refreshLeadership updates c.leadership. It reports whether this coordinator is the leader and has applied all entries
// that were committed before its term.
func (c *Coordinator) refreshLeadership() bool {
	term, isLeader := c.replica.leaderTerm()
	if !isLeader {
		if c.leadership != nil {
			slog.Info("lost leadership", "term", c.leadership.term)
		}
		c.leadership = nil
		return false
	}
	if c.leadership != nil && c.leadership.term == term {
		return true
	}
	// Entries committed before this term are in the log but may not be applied to the state yet. The leader must not
	// make decisions until they are.
	if c.replica.raft.Barrier(barrierTimeout).Error() != nil {
		return false
	}
	slog.Info("became leader", "term", term)
	c.leadership = newLeadership(term)
	return true
}

// leaderRound reports changes among the members, advances the fleet time, notifies permit holders, restarts members and
// analyzes the rollout.
func (c *Coordinator) leaderRound() {
	if !c.reportMembers() {
		return
	}
	snapshot := c.takeSnapshot()
	if !c.tick(snapshot.active) {
		return
	}
	for _, permit := range snapshot.permits {
		c.advancePermit(permit, snapshot.rollout)
	}
	rollout := snapshot.rollout
	switch {
	case snapshot.halted: // after the halt the analysis starts again; measurements made during the halt do not count
		c.leadership.analysis.wave = waveKey{}
	case rollout.InProgress() && rollout.AnalysisRequired && rollout.Phase != coordination.RolloutRollingBack:
		c.analyzeWave(rollout)
	}
}

// roundSnapshot is a copy of the parts of the state that a leader round needs.
type roundSnapshot struct {
	active  bool // there is a permit or a rollout in progress
	halted  bool
	permits []heldPermit          // granted or begun
	rollout *coordination.Rollout // a copy; nil if there has been no rollout
}

// heldPermit is a granted or begun permit with the state of its holder.
type heldPermit struct {
	coordination.Permit
	holderUp        bool // the incarnation that holds the permit is up
	holderGone      bool
	previousRelease string // of the holder, before the rollout
}

// takeSnapshot returns a snapshot of the state for one leader round.
func (c *Coordinator) takeSnapshot() (snapshot roundSnapshot) {
	c.replica.inspect(func(state *coordination.State) {
		snapshot.active = len(state.Permits) > 0 || state.Rollout.InProgress()
		snapshot.halted = state.Halt != nil
		for _, permit := range state.Permits {
			member := state.Members[permit.Member]
			if member == nil || permit.Stage == coordination.PermitQueued {
				continue
			}
			snapshot.permits = append(snapshot.permits, heldPermit{
				Permit:          *permit,
				holderUp:        member.State == coordination.MemberUp && member.Incarnation == permit.Incarnation,
				holderGone:      member.State == coordination.MemberGone,
				previousRelease: member.PreviousRelease,
			})
		}
		if state.Rollout != nil {
			rollout := *state.Rollout
			snapshot.rollout = &rollout
		}
	})
	return snapshot
}

// tick advances the fleet time every activeTickInterval if active is set, and every idleTickInterval otherwise. It
// reports whether the round may continue.
func (c *Coordinator) tick(active bool) bool {
	interval := idleTickInterval
	if active {
		interval = activeTickInterval
	}
	if time.Since(c.leadership.lastTick) <= interval {
		return true
	}
	c.leadership.lastTick = time.Now()
	_, err := c.propose(coordination.Command{Kind: coordination.KindTick})
	return err == nil
}

// advancePermit notifies the permit's holder while the holder is up, and restarts the holder once it is gone.
func (c *Coordinator) advancePermit(permit heldPermit, rollout *coordination.Rollout) {
	lead := c.leadership
	begun := permit.Stage == coordination.PermitBegun
	switch {
	case permit.holderUp && time.Since(lead.notifiedAt[permit.ID]) > notifyInterval:
		lead.notifiedAt[permit.ID] = time.Now()
		c.fleet.NotifyPermit(permit.Member, permit.Incarnation, uint64(permit.ID), begun)
	// A drained member stays out until its operator starts it. A member that still serves must not be started a
	// second time, so only members that are gone are restarted.
	case permit.holderGone && begun && permit.Purpose != coordination.PurposeDrain &&
		rollout != nil && c.config.RestartCommand != "":
		release := rollout.TargetRelease
		if permit.Purpose == coordination.PurposeRollback {
			release = permit.previousRelease
		}
		restart := lead.restarts[permit.ID]
		if restart == nil {
			restart = &restartState{}
			lead.restarts[permit.ID] = restart
		}
		c.scheduleRestart(restart, permit.Permit, release)
	}
}

// memberStates maps the states of the membership to those of observations.
var memberStates = map[membership.State]coordination.MemberState{
	membership.StateUp:      coordination.MemberUp,
	membership.StateWarming: coordination.MemberWarmingUp,
	membership.StateJoining: coordination.MemberJoining,
	membership.StateSuspect: coordination.MemberSuspect,
	membership.StateLeaving: coordination.MemberLeaving,
	membership.StateGone:    coordination.MemberGone,
	membership.StateFenced:  coordination.MemberGone,
}

// reportMembers proposes observations of all members that have changed since the previous report. It reports whether
// the view can be trusted and the observations were committed. A leader that is cut off from the fleet, but not from
// the other coordinators, cannot trust its view: the view would show all members as gone, or in their former states.
func (c *Coordinator) reportMembers() bool {
	view := c.fleet.View()
	if !view.LocalHealth.CanDeclareGone() {
		return false
	}
	lead := c.leadership
	current := observeView(view)
	var changed []coordination.Observation
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if previous, wasReported := lead.reported[name]; !wasReported || previous != current[name] {
			changed = append(changed, current[name])
		}
	}
	for name, previous := range lead.reported { // the membership drops members that have been gone for a long time
		if _, isCurrent := current[name]; !isCurrent && previous.State != coordination.MemberGone {
			previous.State = coordination.MemberGone
			changed = append(changed, previous)
			current[name] = previous
		}
	}
	if len(changed) == 0 {
		return true
	}
	_, err := c.propose(coordination.Command{Kind: coordination.KindObserve, Observations: changed})
	if err != nil {
		return false
	}
	lead.reported = current
	return true
}

// observeView returns an observation of each member of a view, including the observer itself.
func observeView(view *membership.View) map[coordination.Name]coordination.Observation {
	observations := map[coordination.Name]coordination.Observation{}
	add := func(descriptor membership.Descriptor, state coordination.MemberState) {
		observation := coordination.Observation{
			Name:        descriptor.Name,
			Incarnation: descriptor.Incarnation,
			Zone:        descriptor.Zone,
			Release:     descriptor.Release,
			Roles:       descriptor.Roles,
			Capacity:    descriptor.Capacity,
			State:       state,
		}
		if descriptor.Roles&membership.RoleUpstream != 0 {
			observation.Upstream = string(descriptor.Name)
		}
		observations[descriptor.Name] = observation
	}
	for member := range view.All() {
		add(member.Descriptor, memberStates[member.State])
	}
	add(view.Self, coordination.MemberUp)
	return observations
}
