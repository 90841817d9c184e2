package drill

import (
	"errors"
	"fmt"
	"testing"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

const timelineScript = `[drill]
processes = 12
zones = a, b, c
seed = 7
[fault halves]
action = blackhole
from = draw 50%
to = others
bidirectional = yes
at = 1s..3s
duration = 2s
[fault zone]
action = kill
targets = zone b
at = 2s
duration = 1s
[fault few]
action = restart
targets = draw 3
at = 4s..6s
`

func timelineText(text string, seed uint64) (lines string) {
	script, err := config.ParseDrill("x.ini", []byte(text))
	if err != nil {
		panic(err)
	}
	script.RandomSeed = seed
	for _, event := range Timeline(&script) {
		lines += event.String() + "\n"
	}
	return lines
}

// Example_timeline draws the same events by the same seed; another seed draws other times and processes.
func Example_timeline() {
	first := timelineText(timelineScript, 7)
	fmt.Print(first)
	fmt.Println(timelineText(timelineScript, 7) == first, timelineText(timelineScript, 8) == first)
	// Output:
	// 1.98s halves: swallow 3 5 6 8 10 11 -> 0 1 2 4 7 9
	//   2.00s zone: kill on 1 4 7 10
	//   3.00s zone: over: kill on 1 4 7 10
	//   3.98s halves: over: swallow 3 5 6 8 10 11 -> 0 1 2 4 7 9
	//   5.71s few: restart on 0 5 9
	// true false
}

// Example_invalid shows that all that is wrong with a script is reported, each with its line.
//
//nolint:lll // each diagnostic is one line
func Example_invalid() {
	_, err := config.ParseDrill("x.ini", []byte("[drill]\nprocesses = 1\nspeed = 3\n"+
		"[fault a]\naction = explode\nat = 3s..1s\n"+
		"[fault b]\naction = lose\ntargets = zone q\n"))
	var diagnostics diagnostic.List
	fmt.Println(errors.As(err, &diagnostics))
	for _, d := range diagnostics {
		fmt.Println(d)
	}
	// Output:
	// true
	// x.ini:2: drill.processes: is "1", must be a whole number from 2 to 1000
	// x.ini:3: drill.speed: is not a setting of this section; must be one of allocators, clients, coordinators, duration, max-memory-mb, mean-run-time, processes, proxies, rate, releases, seed, seed-members, settle, startup, upstream-call-duration, zones
	// x.ini:5: fault a.action: is "explode", must be one of blackhole, burst, coordinator-command, delay, duplicate, fail-runs, flood, garble, half-close, keys, kill, late-runtime, leave, lose, lose-runs, pause, refuse, reorder, replace, restart, seeds, slow-runs, stall, throttle, wipe
	// x.ini:5: fault a.action: must be an action, for example blackhole or kill
	// x.ini:6: fault a.at: is "3s..1s", must be a duration of 0s or more, or an ascending range, for example 5s..10s; it counts from when all processes are up
	// x.ini:7: fault b.at: must be a duration of 0s or more, or an ascending range, for example 5s..10s; it counts from when all processes are up
	// x.ini:7: fault b.from: must be set together with the setting to, because the action affects links
	// x.ini:9: fault b.targets: is "zone q", must be all, others, proxies, instances, allocators, coordinators, zone NAME, release NAME, process N, first N, draw N or draw N%; NAME must be in drill.zones or drill.releases, N from 0 to the number of processes, and N% from 0% to 100%
}

// TestTimelineText checks how many processes are abbreviated.
func TestTimelineText(t *testing.T) {
	for _, test := range []struct {
		numbers []int
		want    string
	}{
		{nil, ""},
		{[]int{3}, "3"},
		{[]int{1, 2, 3, 4, 5, 6}, "1 2 3 4 5 6"},
		{[]int{1, 2, 3, 4, 5, 6, 7}, "1 2 3 4 ... (7)"},
	} {
		if got := abbreviate(test.numbers); got != test.want {
			t.Errorf("%v is %q, want %q", test.numbers, got, test.want)
		}
	}
}
