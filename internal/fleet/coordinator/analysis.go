package coordinator

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

type memberStats struct {
	incarnation membership.Incarnation
	gossip.RequestStats
}

// analyzeWave gathers what the new release and the old one do at the same time, window by window, and gives the verdict once there is one.
func (s *Coordinator) analyzeWave(rollout *coordination.Rollout) {
	lead := s.leadership
	wave := fmt.Sprint(rollout.Name, " ", rollout.Wave, " ", rollout.RequestedBy)
	if lead.analyzedWave != wave {
		lead.analyzedWave, lead.analysis, lead.windowStart, lead.previousStats, lead.currentStats = wave, canary.New(s.config.Canary), time.Now(), nil, map[coordination.Name]memberStats{}
	}
	if time.Since(lead.windowStart) < s.config.AnalysisWindow {
		return
	}
	lead.windowStart = time.Now()
	lead.mu.Lock()
	previous, current := lead.previousStats, lead.currentStats
	lead.previousStats, lead.currentStats = current, map[coordination.Name]memberStats{}
	lead.mu.Unlock()
	var canaryMembers, baselineMembers []coordination.Observation
	crashes := 0
	for _, name := range slices.Sorted(maps.Keys(lead.reported)) {
		observation := lead.reported[name]
		if !rollout.AppliesTo(observation) {
			continue
		}
		if observation.Release == rollout.TargetRelease {
			// One that is there under a later life without a permit has ended by itself.
			if previousIncarnation := lead.canaryIncarnations[name]; previousIncarnation != 0 && observation.Incarnation != previousIncarnation && !s.hadPermit(name) {
				crashes++
			}
			lead.canaryIncarnations[name] = observation.Incarnation
			canaryMembers = append(canaryMembers, observation)
		} else {
			baselineMembers = append(baselineMembers, observation)
		}
	}
	sumStats := func(group []coordination.Observation) (sample canary.Sample) {
		totalSeconds := 0.0
		for _, observation := range group {
			earlier, later := previous[observation.Name], current[observation.Name]
			if earlier.incarnation != later.incarnation || earlier.incarnation == 0 || later.Finished < earlier.Finished {
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
	sample := sumStats(canaryMembers)
	sample.Crashes = crashes
	lead.analysis.Add(sample, sumStats(baselineMembers))
	for _, group := range [][]coordination.Observation{canaryMembers, baselineMembers} {
		for i, at := range rand.Perm(len(group)) {
			if i >= s.config.SampleSize {
				break
			}
			observation := group[at]
			s.fleet.QueryStats(observation.Name, func(stats gossip.RequestStats) {
				lead.mu.Lock()
				lead.currentStats[observation.Name] = memberStats{observation.Incarnation, stats}
				lead.mu.Unlock()
			})
		}
	}
	result := lead.analysis.Result()
	verdict, reason := result.Verdict, result.Reason
	if verdict == canary.Inconclusive || verdict == canary.Passed && rollout.Phase != coordination.RolloutAnalyzing {
		return
	}
	reply, err := s.propose(coordination.Command{Kind: coordination.KindCanaryVerdict, RequestedBy: "the judgement", RolloutName: rollout.Name, Wave: rollout.Wave, Healthy: verdict == canary.Passed, Reason: reason})
	if err == nil && reply.OK {
		slog.Info("canary verdict", "rollout", rollout.Name, "wave", rollout.Wave+1, "verdict", verdict.String(), "reason", reason)
		lead.analyzedWave = ""
	}
}

func (s *Coordinator) hadPermit(name coordination.Name) (yes bool) {
	s.replica.inspect(func(state *coordination.State) {
		member := state.Members[name]
		yes = member != nil && member.PermitID > 0
		for _, permit := range state.EndedPermits {
			yes = yes || permit.Member == name && state.Now-permit.StageSince < 10*time.Second
		}
	})
	return yes
}
