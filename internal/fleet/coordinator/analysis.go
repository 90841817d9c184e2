package coordinator

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

const (
	// verdictRequester is who requests a verdict, as the history has it.
	verdictRequester = "the judgement"
	// permitGrace is how long after a permit has ended a new incarnation counts as started by it.
	permitGrace = 10 * time.Second
)

// waveKey names a wave of a rollout. The zero value is none.
type waveKey struct {
	rollout     string
	wave        int
	requestedBy string
}

// waveAnalysis gathers what the members of both releases do during a wave, window by window. It is owned by leadLoop
// but for what mu guards.
type waveAnalysis struct {
	wave        waveKey
	analysis    *canary.Analysis
	windowStart time.Time

	mu       sync.Mutex
	previous statsByMember // guarded by mu: as of the window before
	current  statsByMember // guarded by mu: answers of this window
}

// statsByMember is what members have done since their start.
type statsByMember map[coordination.Name]memberStats

type memberStats struct {
	incarnation membership.Incarnation
	gossip.RequestStats
}

// start begins the analysis of a wave.
func (a *waveAnalysis) start(wave waveKey, config canary.Config) {
	a.wave = wave
	a.analysis = canary.New(config)
	a.windowStart = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.previous = nil
	a.current = statsByMember{}
}

// nextWindow ends a window and returns the stats as of the one before and as of this one.
func (a *waveAnalysis) nextWindow() (previous, current statsByMember) {
	a.windowStart = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	previous, current = a.previous, a.current
	a.previous = current
	a.current = statsByMember{}
	return previous, current
}

// record takes in a member's answer. It may be called from any goroutine.
func (a *waveAnalysis) record(name coordination.Name, stats memberStats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current[name] = stats
}

// sampleBetween sums up what a group has done between two windows. A member counts if the same incarnation answered
// both.
func sampleBetween(previous, current statsByMember, group []coordination.Observation) canary.Sample {
	var sample canary.Sample
	totalSeconds := 0.0
	for _, member := range group {
		earlier, later := previous[member.Name], current[member.Name]
		sameIncarnation := earlier.incarnation == later.incarnation && earlier.incarnation != 0
		if !sameIncarnation || later.Finished < earlier.Finished {
			continue
		}
		sample.Requests += later.Finished - earlier.Finished
		sample.OnTime += later.WithinObjective - earlier.WithinObjective
		totalSeconds += later.TotalSeconds - earlier.TotalSeconds
	}
	if sample.Requests > 0 {
		sample.MeanSeconds = totalSeconds / sample.Requests
	}
	return sample
}

// analyzeWave compares what the new release and the old one do at the same time, and has the verdict agreed on once
// there is one.
func (c *Coordinator) analyzeWave(rollout *coordination.Rollout) {
	analysis := &c.leadership.analysis
	wave := waveKey{rollout: rollout.Name, wave: rollout.Wave, requestedBy: rollout.RequestedBy}
	if analysis.wave != wave {
		analysis.start(wave, c.config.Canary)
	}
	if time.Since(analysis.windowStart) < c.config.AnalysisWindow {
		return
	}
	previous, current := analysis.nextWindow()
	groups := c.groupByRelease(rollout)
	sample := sampleBetween(previous, current, groups.canary)
	sample.Crashes = groups.crashes
	analysis.analysis.Add(sample, sampleBetween(previous, current, groups.baseline))
	c.queryStats(groups.canary)
	c.queryStats(groups.baseline)
	c.proposeVerdict(rollout, analysis.analysis.Result())
}

// releaseGroups are the members that a rollout is meant for.
type releaseGroups struct {
	canary   []coordination.Observation // on the new release
	baseline []coordination.Observation
	crashes  int // members of canary that have come back since the window before without a permit
}

func (c *Coordinator) groupByRelease(rollout *coordination.Rollout) releaseGroups {
	lead := c.leadership
	var groups releaseGroups
	for _, name := range slices.Sorted(maps.Keys(lead.reported)) {
		member := lead.reported[name]
		if !rollout.AppliesTo(member) {
			continue
		}
		if member.Release != rollout.TargetRelease {
			groups.baseline = append(groups.baseline, member)
			continue
		}
		groups.canary = append(groups.canary, member)
		previousIncarnation := lead.canaryIncarnations[name]
		if previousIncarnation != 0 && member.Incarnation != previousIncarnation && !c.hadRecentPermit(name) {
			groups.crashes++
		}
		lead.canaryIncarnations[name] = member.Incarnation
	}
	return groups
}

// queryStats asks some members of a group, drawn anew for each window, what they have done.
func (c *Coordinator) queryStats(group []coordination.Observation) {
	analysis := &c.leadership.analysis
	order := rand.Perm(len(group))
	for _, i := range order[:min(len(order), max(0, c.config.SampleSize))] {
		member := group[i]
		c.fleet.QueryStats(member.Name, func(stats gossip.RequestStats) {
			analysis.record(member.Name, memberStats{member.Incarnation, stats})
		})
	}
}

// proposeVerdict has a verdict agreed on. A wave can fail at any time, and passes only once it is updated whole.
func (c *Coordinator) proposeVerdict(rollout *coordination.Rollout, result canary.Result) {
	waveUpdated := rollout.Phase == coordination.RolloutAnalyzing
	if result.Verdict == canary.Inconclusive || result.Verdict == canary.Passed && !waveUpdated {
		return
	}
	reply, err := c.propose(coordination.Command{
		Kind:        coordination.KindCanaryVerdict,
		RequestedBy: verdictRequester,
		RolloutName: rollout.Name,
		Wave:        rollout.Wave,
		Healthy:     result.Verdict == canary.Passed,
		Reason:      result.Reason,
	})
	if err != nil || !reply.OK { // the next window comes to a verdict again
		return
	}
	slog.Info("canary verdict", "rollout", rollout.Name, "wave", rollout.Wave+1,
		"verdict", result.Verdict.String(), "reason", result.Reason)
	c.leadership.analysis.wave = waveKey{}
}

// hadRecentPermit tells whether a member has a permit or had one a short time ago.
func (c *Coordinator) hadRecentPermit(name coordination.Name) (had bool) {
	c.replica.inspect(func(state *coordination.State) {
		member := state.Members[name]
		had = member != nil && member.PermitID > 0
		for _, permit := range state.EndedPermits {
			had = had || permit.Member == name && state.Now-permit.StageSince < permitGrace
		}
	})
	return had
}
