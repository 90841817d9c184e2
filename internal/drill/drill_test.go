package drill

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

const script = `[drill]
processes = 12
zones = a, b, c
seed = 7
[fault halves]
do = swallow
from = draw 50%
to = rest
both = yes
at = 1s..3s
for = 2s
[fault zone]
do = kill
on = zone b
at = 2s
for = 1s
[fault few]
do = restart
on = draw 3
at = 4s..6s
`

func timeline(text string, seed uint64) (lines string) {
	d, err := config.ParseDrill("x.ini", []byte(text))
	if err != nil {
		panic(err)
	}
	d.RandomSeed = seed
	for _, e := range Timeline(&d) {
		lines += e.String() + "\n"
	}
	return lines
}

// The same seed draws the same; another one draws other moments and others.
func Example_timeline() {
	fmt.Print(timeline(script, 7))
	again := timeline(script, 7)
	fmt.Println(timeline(script, 7) == again, again == timeline(script, 8))
	// Output:
	// 1.98s halves: swallow 3 5 6 8 10 11 -> 0 1 2 4 7 9
	//   2.00s zone: kill on 1 4 7 10
	//   3.00s zone: over: kill on 1 4 7 10
	//   3.98s halves: over: swallow 3 5 6 8 10 11 -> 0 1 2 4 7 9
	//   5.71s few: restart on 0 5 9
	// true false
}

// What is wrong with a script is said whole, with its lines.
func Example_wrong() {
	_, err := config.ParseDrill("x.ini", []byte("[drill]\nprocesses = 1\nspeed = 3\n[fault a]\ndo = explode\nat = 3s..1s\n[fault b]\ndo = lose\non = zone q\n"))
	for _, f := range err.(diagnostic.List) {
		fmt.Println(f)
	}
	// Output:
	// x.ini:2: drill.processes: is "1", wants a whole number from 2 to 1000
	// x.ini:3: drill.speed: is no name of this section; wants calls-take, desks, for, mean, memory-mb, processes, rate, relays, releases, seed, seed-processes, settle, start, stewards, stubs, zones
	// x.ini:5: fault a.do: is "explode", wants one of agree, burst, delay, duplicate, fail-runs, flood, garble, half-close, keys, kill, late-runtime, leave, lose, lose-runs, narrow, pause, refuse, reorder, replace, restart, seeds, slow-runs, stall, swallow, wipe
	// x.ini:5: fault a.do: wants what is done, as swallow or kill
	// x.ini:6: fault a.at: is "3s..1s", wants a time, or two with .. between, from when all are up
	// x.ini:7: fault b.at: wants a time, or two with .. between, from when all are up
	// x.ini:7: fault b.from: wants both, from and to, as the fault is one of links
	// x.ini:9: fault b.on: is "zone q", wants all, rest, relays, instances, desks, stewards, zone NAME, release NAME, process N, first N, draw N or draw N%
}

// A history that breaks each rule once is judged so, and one that does not is not.
func TestFourRules(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	d := config.Drill{Instances: 2}
	w := &cluster{script: &d, processes: []*process{{name: "p0"}, {name: "p1", drains: [][2]time.Time{{at(9000), at(10500)}}}, {name: "p2", outages: [][2]time.Time{{at(0), at(5000)}}}}}
	good := []*issuedRequest{
		{id: "1", class: "view", sentAt: at(0), answeredAt: at(10), outcome: "acked", responses: 1, executions: []execution{{0, at(5)}}},
		{id: "2", class: "pay", sentAt: at(0), answeredAt: at(10), outcome: "Busy", responses: 1},
		{id: "3", class: "view", process: 2, sentAt: at(1000)},
		{id: "4", class: "view", process: 1, sentAt: at(9400), answeredAt: at(9500), outcome: "acked", responses: 1, executions: []execution{{1, at(9450)}}},
	}
	good = append(good, &issuedRequest{id: "5", class: "view", process: 1, sentAt: at(10600), answeredAt: at(10700), outcome: "acked", responses: 1, executions: []execution{{1, at(10650)}}}) // the next life's
	bad := []*issuedRequest{
		{id: "a", class: "view", sentAt: at(0)},
		{id: "b", class: "view", sentAt: at(0), answeredAt: at(10), outcome: "acked", responses: 2, executions: []execution{{0, at(5)}}},
		{id: "c", class: "view", sentAt: at(0), answeredAt: at(4000), outcome: "Failed", responses: 1},
		{id: "d", class: "pay", sentAt: at(0), answeredAt: at(10), outcome: "acked", responses: 1, executions: []execution{{0, at(5)}, {2, at(7)}}},
		{id: "e", class: "pay", sentAt: at(0), answeredAt: at(10), outcome: "Busy", responses: 1, executions: []execution{{0, at(5)}}},
		{id: "f", class: "view", sentAt: at(0), answeredAt: at(10), outcome: "acked", responses: 1},
		{id: "g", class: "view", sentAt: at(0), answeredAt: at(10), outcome: "broken"},
		{id: "h", class: "view", process: 1, sentAt: at(9800), answeredAt: at(9900), outcome: "acked", responses: 1, executions: []execution{{1, at(9850)}}},
	}
	if all := checkRequestRules(w, &requestLog{requests: good}, began, at(20000)); len(all) > 0 {
		t.Fatal(all)
	}
	for _, o := range bad {
		if all := checkRequestRules(w, &requestLog{requests: []*issuedRequest{o}}, began, at(20000)); len(all) != 1 {
			t.Fatal(o.id, all)
		}
	}
}

// A record that was saved is the same when it is read, and can be drawn and laid beside another.
func TestRecord(t *testing.T) {
	r := Record{{100, "op", "p0", "1", "acked", 5}, {105, "run", "p0", "1", "", 0}, {1500, "done", "", "halves", "swallow", 1.5}, {1600, "differs", "", "", "", 2}, {0, "figure", "", "x", "", 3}}
	path := filepath.Join(t.TempDir(), "r")
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	back, err := LoadRecord(path)
	if err != nil || fmt.Sprint(back) != fmt.Sprint(r) {
		t.Fatal(err, back)
	}
	if err := r.Draw(path + ".svg"); err != nil {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(path + ".svg"); !bytes.Contains(b, []byte("<svg")) {
		t.Fatal("no picture")
	}
	var out bytes.Buffer
	Compare(&out, r, append(Record{{200, "op", "p0", "2", "Busy", 1}}, r...))
	if !bytes.Contains(out.Bytes(), []byte("+1")) {
		t.Fatal(out.String())
	}
}
