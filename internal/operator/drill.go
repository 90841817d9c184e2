package operator

import (
	"os"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/fault"
)

// Drill is a script for a rehearsal: so many processes, a load, and what is done to them.
type Drill struct {
	Path      string
	Keep      bool // what the processes logged, also if all held
	Processes int  // instances
	Relays    int
	Desks     int // each beside a service of its own
	Stewards  int
	Seeds     int // how many of them the others are told of
	Stubs     int
	Seed      uint64
	For       time.Duration // of load, from when all are up
	Start     time.Duration // over which the processes are started
	Settle    time.Duration // after a fault is over, until all has to be as it should
	Rate      float64       // ops a second, all together
	Mean      time.Duration // of a run
	MemoryMB  float64       // that one process may hold
	Zones     []string
	Releases  []string
	Relaying  [][2]string // names and values for each relay's section [relay]
	Members   [][2]string // names and values for each process's section [fleet]
	Calling   [][2]string // for each instance's section [below]
	Granting  [][2]string // for each desk's section [grants]
	Handing   [][2]string // for each instance's section [handover]; nil: nothing is handed over
	Hands     bool
	Takes     time.Duration // that a call takes at a service
	Even      DrillEven
	Agreeing  [][2]string // names and values for each steward's section [steward]
	Bad       DrillBad
	EndsOn    string // the release that all instances are to be on at the end
	EverOn    string // and one that no more than EverMost of them may ever have been on
	EverMost  float64
	Faults    []DrillFault
}

// DrillEven is how evenly load has to be spread, while nothing is done and Back after it.
type DrillEven struct {
	On   bool
	Most float64       // the most loaded of a second, of what pure chance gives the most loaded under a perfect balancer
	Idle float64       // the longest that one waits for an op, in expected gaps
	Back time.Duration // after something was done or undone
}

// DrillBad is what is wrong with a release.
type DrillBad struct {
	Release string
	Slow    float64       // its runs take so many times as long
	Fails   bool          // its runs fail
	Crashes time.Duration // it ends by itself so long after its start; 0: it does not
	NeverUp bool          // its runtime never comes up
}

// DrillFault is one thing that is done, to links or to processes.
type DrillFault struct {
	Name          string
	Do            string
	First, Last   time.Duration // it begins between these, by chance
	For           time.Duration // until it is undone; 0 for what can't be
	On, From, To  Group
	Both          bool // the way back as well
	Share         float64
	Factor        float64 // so many times as long, or as much
	Command       string  // for the stewards
	Delay, Jitter time.Duration
	Rate          int // bytes a second
	Keys          []int
	Seeds         int
	NoneGone      bool // nobody who is there may be given up over it
	Refuses       bool // ops may be without an answer while it lasts
}

// Group names processes, relays behind the instances, desks behind both. Kind is all, relays, instances, desks, rest (none of the other end), zone, release, process, first, draw.
type Group struct {
	Kind  string
	Name  string
	Count int
	Share float64
}

// What can be done to links, and to processes.
var (
	LinkFaults    = []string{"refuse", "swallow", "delay", "lose", "duplicate", "reorder", "narrow", "stall", "half-close", "garble"}
	ProcessFaults = []string{"kill", "wipe", "pause", "restart", "replace", "leave", "late-runtime", "slow-runs", "fail-runs", "lose-runs", "burst", "agree", "keys", "seeds", "flood"}
)

// LoadDrill reads a script; set holds values in place of its own, each as section.name=value. The error is a fault.List with all that is wrong.
func LoadDrill(path string, set ...string) (Drill, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Drill{}, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	return ParseDrill(path, text, set...)
}

// ParseDrill reads a script's text; path is what its faults name.
func ParseDrill(path string, text []byte, set ...string) (Drill, error) {
	r := read(path, text)
	for _, x := range set {
		name, value, whole := strings.Cut(x, "=")
		at := strings.LastIndexByte(name, '.')
		if !whole || at < 0 || r.ini == nil {
			r.wrong("", "", x, "wants section.name=value")
			continue
		}
		r.ini.Section(name[:at]).Key(name[at+1:]).SetValue(value)
	}
	d := Drill{Path: path, Processes: 20, Seeds: 1, Stubs: 8, Seed: 1, For: 30 * time.Second, Start: time.Second, Settle: 20 * time.Second,
		Rate: 100, Mean: 5 * time.Millisecond, MemoryMB: 64, Zones: []string{"a"}, Releases: []string{"1"}}
	s := r.section("drill")
	if !s.given() {
		s.wrong("", "", "is missing")
	}
	s.count("processes", &d.Processes, 2, 1000)
	s.count("relays", &d.Relays, 0, 1000)
	s.count("desks", &d.Desks, 0, 100)
	s.count("stewards", &d.Stewards, 0, 9)
	d.Takes = 5 * time.Millisecond
	s.span("calls-take", &d.Takes, 0, time.Minute)
	s.count("seed-processes", &d.Seeds, 1, d.Processes)
	s.count("stubs", &d.Stubs, 1, 1000)
	seed := 1
	s.count("seed", &seed, 0, 1<<53)
	d.Seed = uint64(seed)
	s.span("for", &d.For, time.Second, 24*time.Hour)
	s.span("start", &d.Start, 0, time.Hour)
	s.span("settle", &d.Settle, 100*time.Millisecond, time.Hour)
	s.number("rate", &d.Rate, 0.1, 100_000)
	s.span("mean", &d.Mean, 0, time.Minute)
	s.number("memory-mb", &d.MemoryMB, 16, 4096)
	if all := s.list("zones"); len(all) > 0 {
		d.Zones = all
	}
	if all := s.list("releases"); len(all) > 0 {
		d.Releases = all
	}
	s.close()
	for name, to := range map[string]*[][2]string{"members": &d.Members, "relaying": &d.Relaying, "calling": &d.Calling, "granting": &d.Granting, "stewarding": &d.Agreeing, "handing": &d.Handing} {
		m := r.section(name)
		if !m.given() {
			continue
		}
		d.Hands = d.Hands || name == "handing"
		for _, key := range m.keys.KeyStrings() {
			v, _ := m.value(key)
			*to = append(*to, [2]string{key, v})
		}
	}
	b := r.section("bad-release")
	b.text("release", &d.Bad.Release)
	b.number("slow", &d.Bad.Slow, 0.01, 1000)
	b.flag("fails", &d.Bad.Fails)
	b.span("crashes-after", &d.Bad.Crashes, 0, time.Hour)
	b.flag("never-up", &d.Bad.NeverUp)
	b.close()
	g := r.section("agreed")
	g.text("ends-on", &d.EndsOn)
	g.text("ever-on", &d.EverOn)
	d.EverMost = 1
	g.number("ever-on-most", &d.EverMost, 0, 1)
	g.close()
	e := r.section("even")
	d.Even = DrillEven{On: e.given(), Most: 1.25, Idle: 5, Back: 3 * time.Second}
	e.number("most", &d.Even.Most, 0.1, 1000)
	e.number("idle", &d.Even.Idle, 0.1, 1000)
	e.span("back", &d.Even.Back, 0, time.Hour)
	e.close()
	for _, f := range r.named("fault") {
		d.Faults = append(d.Faults, f.drillFault(&d))
	}
	r.close("fault")
	return d, r.faults.Err()
}

func (s *section) drillFault(d *Drill) DrillFault {
	f := DrillFault{Name: s.title(), Share: 1, Factor: 4}
	s.word("do", &f.Do, append(append([]string{}, LinkFaults...), ProcessFaults...)...)
	if f.Do == "" {
		s.wrong("do", "", "wants what is done, as swallow or kill")
	}
	at, _ := s.value("at")
	first, last, spread := strings.Cut(at, "..")
	if !spread {
		last = first
	}
	var err error
	if f.First, err = time.ParseDuration(strings.TrimSpace(first)); err == nil {
		f.Last, err = time.ParseDuration(strings.TrimSpace(last))
	}
	if err != nil || f.First < 0 || f.Last < f.First {
		s.wrong("at", at, "wants a time, or two with .. between, from when all are up")
	}
	s.span("for", &f.For, 0, 24*time.Hour)
	f.On, f.From, f.To = s.group("on", d), s.group("from", d), s.group("to", d)
	link := false
	for _, name := range LinkFaults {
		link = link || name == f.Do
	}
	switch {
	case link && (f.From.Kind == "" || f.To.Kind == ""):
		s.wrong("from", "", "wants both, from and to, as the fault is one of links")
	case !link && f.On.Kind == "" && f.Do != "" && f.Do != "agree":
		s.wrong("on", "", "wants processes, as zone a, draw 5 or draw 33%")
	}
	s.flag("both", &f.Both)
	s.number("share", &f.Share, 0, 1)
	s.number("factor", &f.Factor, 0.01, 1000)
	s.text("command", &f.Command)
	if f.Do == "agree" && f.Command == "" {
		s.wrong("command", "", "wants a command for the stewards, as release FILE, halt, resume, back, budgets FILE, drain NAME, drain zone NAME")
	}
	s.span("delay", &f.Delay, 0, time.Minute)
	s.span("jitter", &f.Jitter, 0, time.Minute)
	s.count("rate", &f.Rate, 1, 1<<30)
	for _, k := range s.list("keys") {
		n, err := strconv.Atoi(k)
		if err != nil || n < 1 || n > 8 {
			s.wrong("keys", k, "wants numbers from 1 to 8, the one to write with first")
		}
		f.Keys = append(f.Keys, n)
	}
	s.count("seeds", &f.Seeds, 1, d.Processes)
	s.flag("none-gone", &f.NoneGone)
	s.flag("refuses", &f.Refuses)
	s.close()
	return f
}

// group reads who is meant.
func (s *section) group(name string, d *Drill) (g Group) {
	v, told := s.value(name)
	if !told {
		return g
	}
	kind, rest, _ := strings.Cut(v, " ")
	rest = strings.TrimSpace(rest)
	g.Kind, g.Name = kind, rest
	ok := false
	switch kind {
	case "all", "rest", "relays", "instances", "desks", "stewards":
		ok = rest == ""
	case "zone":
		for _, z := range d.Zones {
			ok = ok || z == rest
		}
	case "release":
		for _, r := range d.Releases {
			ok = ok || r == rest
		}
	case "process", "first", "draw":
		number, part := strings.CutSuffix(rest, "%")
		n, err := strconv.Atoi(number)
		g.Count, g.Share = n, float64(n)/100
		if !part {
			g.Share = 0
		}
		ok = err == nil && n >= 0 && (part && kind == "draw" && n <= 100 || !part && n <= d.Processes+d.Relays+d.Desks+d.Stewards)
	}
	if !ok {
		s.wrong(name, v, "wants all, rest, relays, instances, desks, stewards, zone NAME, release NAME, process N, first N, draw N or draw N%")
	}
	return g
}
