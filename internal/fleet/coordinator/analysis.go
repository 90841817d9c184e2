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
	// verdictRequester is stored in the history as the requester of canary verdicts.
	verdictRequester = "the judgement"
	// permitGrace is the time after the end of a permit during which a new incarnation of its holder is attributed to
	// the permit and does not count as a crash.
	permitGrace = 10 * time.Second
)

// waveKey identifies a wave of a rollout. The zero value identifies no wave.
type waveKey struct {
	rollout     string
	wave        int
	requestedBy string
}

// waveAnalysis collects the request statistics of the members of both releases during a wave, window by window. It is
// owned by leadLoop, except for the fields that mu guards.
type waveAnalysis struct {
	wave        waveKey
	analysis    *canary.Analysis
	windowStart time.Time

	mu       sync.Mutex
	previous statsByMember // guarded by mu: statistics as of the previous window
	current  statsByMember // guarded by mu: statistics received in the current window
}

// statsByMember holds the request statistics of members since their start.
type statsByMember map[coordination.Name]memberStats

// memberStats holds the request statistics of one incarnation of a member since its start.
type memberStats struct {
	incarnation membership.Incarnation
	gossip.RequestStats
}

// start begins the analysis of a wave and discards the statistics of the previous wave.
func (a *waveAnalysis) start(wave waveKey, config canary.Config) {
	a.wave = wave
	a.analysis = canary.New(config)
	a.windowStart = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.previous = nil
	a.current = statsByMember{}
}

// nextWindow ends the current window. It returns the statistics of the previous window and of the ended one.
func (a *waveAnalysis) nextWindow() (previous, current statsByMember) {
	a.windowStart = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	previous, current = a.previous, a.current
	a.previous = current
	a.current = statsByMember{}
	return previous, current
}

// record adds a member's statistics to the current window. It may be called from any goroutine.
func (a *waveAnalysis) record(name coordination.Name, stats memberStats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current[name] = stats
}

// sampleBetween returns a sample of the requests that a group finished between two windows. A member counts only if the
// same incarnation reported its statistics in both windows and its number of requests has not decreased.
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

// analyzeWave compares the new release with the old one over the same period, and proposes the verdict once there is
// one.
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

// releaseGroups holds the members that a rollout applies to, by release.
type releaseGroups struct {
	canary   []coordination.Observation // on the new release
	baseline []coordination.Observation // on any other release
	crashes  int                        // canary members that restarted without a permit since the previous window
}

// groupByRelease returns the members that the rollout applies to, and the number of crashes since the previous call.
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

// queryStats requests the statistics of at most SampleSize members of a group. The members are chosen at random for
// each window.
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

// proposeVerdict proposes the verdict of a wave. A wave may fail at any time, but passes only after all of its members
// are updated.
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
	if err != nil || !reply.OK { // the next window yields a verdict again
		return
	}
	slog.Info("canary verdict", "rollout", rollout.Name, "wave", rollout.Wave+1,
		"verdict", result.Verdict.String(), "reason", result.Reason)
	c.leadership.analysis.wave = waveKey{} // the next call of analyzeWave starts a new analysis
}

// hadRecentPermit reports whether a member has a permit or had one that ended less than permitGrace ago.
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
