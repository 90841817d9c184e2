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
	notifyInterval      = 500 * time.Millisecond // a permit's holder is told again: a message may be lost
)

// leadership is what a leader keeps beside the state; the next leader needs nothing of it. It is owned by leadLoop.
type leadership struct {
	term       uint64
	reported   map[coordination.Name]coordination.Observation // the latest agreed observation of each member
	lastTick   time.Time
	notifiedAt map[coordination.PermitID]time.Time
	restarts   map[coordination.PermitID]*restartState
	analysis   waveAnalysis
	// canaryIncarnations are those of the new release's members in the window before.
	canaryIncarnations map[coordination.Name]membership.Incarnation
}

func newLeadership(term uint64) *leadership {
	return &leadership{
		term:               term,
		notifiedAt:         map[coordination.PermitID]time.Time{},
		restarts:           map[coordination.PermitID]*restartState{},
		canaryIncarnations: map[coordination.Name]membership.Incarnation{},
	}
}

// leadLoop does the leader's rounds for as long as this coordinator leads.
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

// refreshLeadership tells whether this coordinator leads and has all in its state that was agreed before.
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
	// What was agreed before is in the log and may not be in the state yet. Nothing is decided before it is.
	if c.replica.raft.Barrier(barrierTimeout).Error() != nil {
		return false
	}
	slog.Info("became leader", "term", term)
	c.leadership = newLeadership(term)
	return true
}

// leaderRound reports what has changed among the members, passes the time, tells holders of their permits, starts
// members anew and analyzes the rollout.
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
	case snapshot.halted: // what is measured meanwhile is of a wave that is analyzed anew after the halt
		c.leadership.analysis.wave = waveKey{}
	case rollout.InProgress() && rollout.AnalysisRequired && rollout.Phase != coordination.RolloutRollingBack:
		c.analyzeWave(rollout)
	}
}

// roundSnapshot is what a leader's round needs of the state.
type roundSnapshot struct {
	active  bool // there is a permit or a rollout in progress
	halted  bool
	permits []heldPermit          // granted or begun
	rollout *coordination.Rollout // a copy; nil if there was none
}

// heldPermit is a granted or begun permit and how its holder is.
type heldPermit struct {
	coordination.Permit
	holderUp        bool // the incarnation that holds it
	holderGone      bool
	previousRelease string // of the holder, before the rollout
}

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

// tick has the fleet's time pass, seldom while nothing is going on. It tells whether the round may go on.
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

// advancePermit tells a holder of its permit until it has gone out, and starts it anew once it is gone.
func (c *Coordinator) advancePermit(permit heldPermit, rollout *coordination.Rollout) {
	lead := c.leadership
	begun := permit.Stage == coordination.PermitBegun
	switch {
	case permit.holderUp && time.Since(lead.notifiedAt[permit.ID]) > notifyInterval:
		lead.notifiedAt[permit.ID] = time.Now()
		c.fleet.NotifyPermit(permit.Member, permit.Incarnation, uint64(permit.ID), begun)
	// A member that was drained stays out until its operator starts it. One that still serves must not be started a
	// second time: only a member that is gone is started.
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

// memberStates is how a state of the membership is observed.
var memberStates = map[membership.State]coordination.MemberState{
	membership.StateUp:      coordination.MemberUp,
	membership.StateWarming: coordination.MemberWarmingUp,
	membership.StateJoining: coordination.MemberJoining,
	membership.StateSuspect: coordination.MemberSuspect,
	membership.StateLeaving: coordination.MemberLeaving,
	membership.StateGone:    coordination.MemberGone,
	membership.StateFenced:  coordination.MemberGone,
}

// reportMembers has what has changed among the members agreed on, and tells whether the view can be trusted and that
// went well. A leader that is cut off from the fleet and not from the other coordinators would see all members as
// gone, or as they were.
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
	for name, previous := range lead.reported { // the membership has forgotten one that was gone for long
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

// observeView returns an observation of each member of a view, the observer among them.
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
