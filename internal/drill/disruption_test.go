package drill

import (
	"strings"
	"testing"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
)

// TestDisruptionLog checks that the drill fails if more processes are out under a permit than a budget allows, over all
// processes and by zone, and checks the recorded maximum and releases.
func TestDisruptionLog(t *testing.T) {
	failures := make(chan string, 10)
	script := &config.Drill{Instances: 4, Zones: []string{"a", "b"}}
	c := &cluster{
		callbacks:   callbacks{onFailure: func(detail string) { failures <- detail }},
		script:      script,
		disruptions: newDisruptionLog(),
	}
	for i, name := range []string{"p0", "p1", "p2", "p3"} {
		c.processes = append(c.processes, &process{cluster: c, index: i, name: name, release: "1"})
		c.disruptions.recordRelease(c.processes[i])
	}
	c.disruptions.setLimits([]coordination.DisruptionBudget{
		{Selector: coordination.Selector{Role: "instance"}, MaxUnavailable: 2},
		{Selector: coordination.Selector{Zone: "a"}, MaxUnavailable: 1},
		{Selector: coordination.Selector{Zone: "b"}, MaxUnavailable: -1},
		{Selector: coordination.Selector{Release: "1"}, MaxUnavailable: 0},
		{Selector: coordination.Selector{Role: "relay"}, MaxUnavailable: 0},
	})
	expectDeparture := func(index int, want string) {
		t.Helper()
		c.disruptions.recordDeparture(c, c.processes[index])
		select {
		case got := <-failures:
			if want == "" || !strings.Contains(got, want) {
				t.Errorf("failed with %q, want %q", got, want)
			}
		case <-time.After(50 * time.Millisecond):
			if want != "" {
				t.Errorf("did not fail with %q", want)
			}
		}
	}
	expectDeparture(0, "")
	expectDeparture(1, "")
	c.disruptions.recordReturn(c.processes[1])
	expectDeparture(2, "p2 left by a permit and 2 of zone a are out by one, 1 may be")
	c.disruptions.recordReturn(c.processes[0])
	expectDeparture(1, "")
	expectDeparture(3, "p3 left by a permit and 3 of all are out by one, 2 may be")
	if got := c.disruptions.maxOut[allProcesses]; got != 3 {
		t.Errorf("maxOut of all processes is %d, want 3", got)
	}
	if !c.disruptions.inProgress() || (*disruptionLog)(nil).inProgress() {
		t.Error("inProgress: want true with processes out and false for a nil log")
	}
	if got := len(c.disruptions.processesByRelease["1"]); got != 4 {
		t.Errorf("%d processes were on release 1, want 4", got)
	}
}

// TestParseCommand checks which coordinator commands the commands of a script are parsed into.
func TestParseCommand(t *testing.T) {
	c := &cluster{script: &config.Drill{Path: "testdata/everything.ini"}}
	for text, want := range map[string]coordination.Command{
		"halt":             {Kind: "halt"},
		"resume":           {Kind: "resume"},
		"back":             {Kind: "back"},
		"drain p001":       {Kind: coordination.KindRequestPermit, Member: "p001"},
		"drain zone north": {Kind: coordination.KindDrain, Selector: coordination.Selector{Zone: "north", Role: "instance"}},
	} {
		got, err := c.parseCommand(text)
		if err != nil || got.Kind != want.Kind || got.Member != want.Member || got.Selector != want.Selector {
			t.Errorf("parseCommand(%q) = %+v, want %+v; error %v", text, got, want, err)
		}
	}
	for _, text := range []string{"", "explode", "budgets missing.ini", "release missing.ini"} {
		if got, err := c.parseCommand(text); err == nil {
			t.Errorf("parseCommand(%q) = %+v, want an error", text, got)
		}
	}
}

// TestExpectedMaximum checks the number of requests that the most loaded process is expected to get by chance.
func TestExpectedMaximum(t *testing.T) {
	for _, test := range []struct {
		requests, processes int
		min, max            float64
	}{
		{0, 10, 0, 0},
		{1, 1, 0.6, 1},
		{100, 10, 15, 17},
		{1000, 10, 112, 118},
	} {
		if got := expectedMaximum(test.requests, test.processes); got < test.min || got > test.max {
			t.Errorf("expectedMaximum(%d, %d) = %.2f, want %g to %g",
				test.requests, test.processes, got, test.min, test.max)
		}
	}
}
