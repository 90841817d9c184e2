package operator

import (
	"net"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/accord"
	"lanewheel/internal/accord/judge"
	"lanewheel/internal/fleet/steward/told"
)

// Steward is a process that holds what the fleet has agreed.
type Steward struct {
	On   bool
	Told told.Told
}

func (r *reader) steward(f *Fleet) Steward {
	t := Steward{Told: told.Told{Beat: time.Second, Accord: accord.Usual(), Judge: judge.Usual(), Window: time.Second, Asked: 32, Patience: 30 * time.Second, Output: 4096, Snapshot: 8192}}
	s := r.section("steward")
	t.On = s.given()
	x := &t.Told
	switch {
	case t.On && !f.On:
		s.wrong("", "", "wants a section [fleet], by which the members are known")
	case t.On && f.Name == "":
		s.wrong("", "", "wants fleet.name: a steward keeps its name over restarts")
	}
	x.Name = f.Name
	s.wanted("listen", &x.Listen)
	s.address("listen", x.Listen)
	s.text("at", &x.At)
	s.address("at", x.At)
	if x.At == "" {
		x.At = x.Listen
	}
	if host, _, err := net.SplitHostPort(x.Listen); err == nil {
		x.From = host
	}
	x.Others = r.stewards(s)
	s.file("folder", &x.Folder)
	s.span("beat", &x.Beat, 100*time.Millisecond, time.Minute)
	s.text("restart", &x.Restart)
	s.span("restart-within", &x.Patience, 100*time.Millisecond, time.Hour)
	s.count("restart-output", &x.Output, 0, 1<<20)
	snapshot := int(x.Snapshot)
	s.count("snapshot-every", &snapshot, 64, 1<<30)
	x.Snapshot = uint64(snapshot)
	s.count("history", &x.Accord.History, 10, 1_000_000)
	s.count("waiting", &x.Accord.Waiting, 1, 100_000)
	s.count("passed-over", &x.Accord.Passed, 0, 100_000)
	s.span("stuck-after", &x.Accord.Stuck, time.Second, 24*time.Hour)
	s.number("wrong", &x.Judge.Alpha, 0.0001, 0.2)
	s.number("late", &x.Judge.Late, 0.001, 1)
	s.number("slow", &x.Judge.Slow, 0.001, 10)
	s.count("windows", &x.Judge.Least, 2, 10_000)
	s.number("window-ops", &x.Judge.Ops, 1, 1_000_000)
	s.count("crashes", &x.Judge.Crashes, 0, 1000)
	s.span("window", &x.Window, 200*time.Millisecond, time.Hour)
	s.count("asked", &x.Asked, 1, 1000)
	s.close()
	return t
}

// stewards reads the addresses of the stewards.
func (r *reader) stewards(s *section) []string {
	all := s.list("stewards")
	for _, at := range all {
		s.address("stewards", at)
	}
	if s.given() && len(all) == 0 {
		s.wrong("stewards", "", "wants the addresses of the stewards, one of which leads")
	}
	return all
}

// Budgets and Release are what an operator hands to the stewards as a file.

// ReadBudgets reads a file of sections [budget NAME].
func ReadBudgets(path string, text []byte) ([]accord.Budget, error) {
	r := read(path, text)
	var all []accord.Budget
	for _, s := range r.named("budget") {
		b := accord.Budget{Name: s.title(), Most: -1, Of: s.match()}
		most := -1
		s.count("most", &most, 0, 100_000)
		b.Most = most
		share := -1.0
		s.number("share", &share, 0, 1)
		if b.Share = share; (share < 0) == (most < 0) {
			s.wrong("most", "", "wants one of most and share")
		}
		s.number("least-capacity", &b.Least, 0, 1e9)
		s.close()
		all = append(all, b)
	}
	if len(all) == 0 && len(r.faults) == 0 {
		r.wrong("", "", "", "wants sections [budget NAME]")
	}
	r.close("budget")
	return all, r.faults.Err()
}

func (s *section) match() (g accord.Match) {
	s.text("zone", &g.Zone)
	s.text("release", &g.Release)
	s.word("role", &g.Role, "instance", "relay", "steward", "below")
	s.text("below", &g.Below)
	return g
}

// ReadPlan reads a file with a section [release].
func ReadPlan(path string, text []byte) (accord.Plan, error) {
	r := read(path, text)
	p := accord.Plan{Pause: time.Minute, Judged: true, Faster: 2, Tries: 3}
	s := r.section("release")
	if !s.given() {
		s.wrong("", "", "is missing")
	}
	s.wanted("name", &p.Name)
	s.wanted("to", &p.To)
	s.text("of-zone", &p.Of.Zone)
	s.text("of-release", &p.Of.Release)
	p.Of.Role = "instance"
	s.word("of-role", &p.Of.Role, "instance", "relay", "steward", "below")
	for _, w := range s.list("waves") {
		wave := accord.Wave{}
		zone, isZone := strings.CutPrefix(w, "zone ")
		share, isShare := strings.CutSuffix(w, "%")
		n, err := strconv.Atoi(share)
		switch {
		case isZone:
			wave.Zone = strings.TrimSpace(zone)
		case err != nil || n < 1 || isShare && n > 100:
			s.wrong("waves", w, "wants a number, a share as 10%, or zone NAME")
		case isShare:
			wave.Share = float64(n) / 100
		default:
			wave.Count = n
		}
		p.Waves = append(p.Waves, wave)
	}
	s.span("pause", &p.Pause, 0, 24*time.Hour)
	s.flag("judged", &p.Judged)
	s.number("back-faster", &p.Faster, 1, 1000)
	s.count("tries", &p.Tries, 1, 100)
	s.close()
	r.close()
	return p, r.faults.Err()
}
