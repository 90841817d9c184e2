package coordinator

import (
	"testing"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/gossip"
)

// A member counts in a window if the same incarnation reported its statistics at the start and at the end of the
// window, and its counters did not decrease.
func TestSampleBetween(t *testing.T) {
	previous := statsByMember{
		"n0": {1, gossip.RequestStats{Finished: 10, WithinObjective: 9, TotalSeconds: 5}},
		"n1": {1, gossip.RequestStats{Finished: 10, WithinObjective: 10, TotalSeconds: 5}},
		"n2": {1, gossip.RequestStats{Finished: 10}},
		"n3": {1, gossip.RequestStats{Finished: 10}},
	}
	current := statsByMember{
		"n0": {1, gossip.RequestStats{Finished: 30, WithinObjective: 27, TotalSeconds: 15}},
		"n1": {1, gossip.RequestStats{Finished: 20, WithinObjective: 19, TotalSeconds: 10}},
		"n2": {2, gossip.RequestStats{Finished: 99}}, // restarted
		"n3": {1, gossip.RequestStats{Finished: 9}},  // counter decreased
		"n4": {1, gossip.RequestStats{Finished: 99}}, // not in the previous window
	}
	group := []coordination.Observation{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}, {Name: "n3"}, {Name: "n4"}, {Name: "n5"}}
	want := canary.Sample{Requests: 30, OnTime: 27, MeanSeconds: 0.5}
	if got := sampleBetween(previous, current, group); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := sampleBetween(nil, current, group); got != (canary.Sample{}) {
		t.Errorf("first window: %+v, want an empty sample", got)
	}
}

// A window holds the statistics that were received since the previous window. A new wave starts without statistics.
func TestWaveAnalysisWindows(t *testing.T) {
	var analysis waveAnalysis
	analysis.start(waveKey{rollout: "r", wave: 0}, canary.DefaultConfig())
	analysis.record("n0", memberStats{incarnation: 1})
	if previous, current := analysis.nextWindow(); len(previous) != 0 || len(current) != 1 {
		t.Error(previous, current)
	}
	analysis.record("n1", memberStats{incarnation: 1})
	previous, current := analysis.nextWindow()
	if previous["n0"].incarnation != 1 || current["n1"].incarnation != 1 || len(previous)+len(current) != 2 {
		t.Error(previous, current)
	}
	analysis.start(waveKey{rollout: "r", wave: 1}, canary.DefaultConfig())
	if previous, current := analysis.nextWindow(); len(previous)+len(current) != 0 {
		t.Error(previous, current)
	}
}
