// Package accord is what a fleet has agreed on: who is there, how many may be out at once, who has leave to go, which release goes where, and
// whether all of it is halted. It is pure and deterministic: commands in, state out, the same on every steward; time comes in with
// the command, as a span since its leader began, so that no two clocks have to agree. docs/releases.md has the states and why they hold.
package accord

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lanewheel/internal/members"
)

// Name is a member's; Number is a permit's, and fences: a later permit has a higher one.
type (
	Name   = members.Name
	Number uint64
)

// Told is what holds for the whole of a fleet's life, the same at every steward.
type Told struct {
	History int           `json:"History"` // commands that are remembered with what became of them
	Keys    int           `json:"Keys"`    // keys of commands whose replies are remembered
	Members int           `json:"Members"` // known at a time
	Waiting int           `json:"Waiting"` // permits that may wait
	Passed  int           `json:"Passed"`  // times that one may be passed over by a later one
	Stuck   time.Duration `json:"Stuck"`   // how long one that went out may stay out before it is said that it does not come back
}

// Usual is what holds without being told.
func Usual() Told {
	return Told{History: 1000, Keys: 4096, Members: 10_000, Waiting: 10_000, Passed: 50, Stuck: time.Minute}
}

// Match is a group: members that have all that is told; empty fields match any.
type Match struct {
	Zone    string `json:"Zone"`
	Release string `json:"Release"`
	Role    string `json:"Role"`
	Below   string `json:"Below"`
}

func (g Match) String() string {
	text := ""
	for _, f := range [][2]string{{"zone", g.Zone}, {"release", g.Release}, {"role", g.Role}, {"below", g.Below}} {
		if f[1] != "" {
			text += f[0] + "=" + f[1] + " "
		}
	}
	if text == "" {
		return "all"
	}
	return text[:len(text)-1]
}

// Budget bounds how many of a group may be out at once. What is out for any reason counts.
type Budget struct {
	Name  string  `json:"Name"`
	Of    Match   `json:"Of"`
	Most  int     `json:"Most"`  // at once; under 0: Share says
	Share float64 `json:"Share"` // of the group
	Least float64 `json:"Least"` // capacity that stays up
}

// Reason is why a member is out.
type Reason string

const (
	Up      Reason = ""
	Cold    Reason = "cold"    // it has come up, and is not at its full pace
	Joining Reason = "joining" // it is there, and does not serve yet
	Doubted Reason = "suspect"
	Leaving Reason = "leaving"
	Gone    Reason = "gone"
)

// Seen is a member as a steward's membership has it.
type Seen struct {
	Name        Name                `json:"Name"`
	Incarnation members.Incarnation `json:"Incarnation"`
	Zone        string              `json:"Zone"`
	Release     string              `json:"Release"`
	Roles       members.Roles       `json:"Roles"`
	Below       string              `json:"Below"` // the service that it is, or stands beside
	Capacity    float64             `json:"Capacity"`
	Why         Reason              `json:"Why"` // why it is out
}

// Member is one that the fleet knows.
type Member struct {
	Seen
	Since  time.Duration `json:"Since"`  // in this state
	Permit Number        `json:"Permit"` // that it has, or waits for
	Before string        `json:"Before"` // its release before the one that is being brought out
	Tries  int           `json:"Tries"`  // permits of the release that brought it back as it was
}

// Stage is how far a permit is.
type Stage string

const (
	Queued  Stage = "queued"
	Granted Stage = "granted" // it may begin; until it says that it does, the permit can be withdrawn
	Begun   Stage = "begun"   // it goes out; this is never taken back, and counts until it is up again
	Ended   Stage = "ended"
)

// Permit is leave for one member to go out.
type Permit struct {
	Number  Number              `json:"Number"`
	Member  Name                `json:"Member"`
	Of      members.Incarnation `json:"Of"` // the life that has it; 0 while it waits
	By      string              `json:"By"`
	Why     string              `json:"Why"` // drain, release, back
	Stage   Stage               `json:"Stage"`
	Asked   time.Duration       `json:"Asked"`
	At      time.Duration       `json:"At"`      // when it came into its stage
	Span    time.Duration       `json:"Span"`    // from granted until it has to begin
	Passed  int                 `json:"Passed"`  // later ones that were granted before it
	Waits   string              `json:"Waits"`   // for what, as last looked
	Outcome string              `json:"Outcome"` // how it ended
}

// Halt is that nothing further begins.
type Halt struct {
	At  time.Duration `json:"At"`
	By  string        `json:"By"`
	Why string        `json:"Why"`
}

// Do is what a command does.
type Do string

const (
	DoSee     Do = "see"
	DoBudgets Do = "budgets"
	DoAsk     Do = "ask"     // for a permit
	DoBegin   Do = "begin"   // a permit, by its holder
	DoDrop    Do = "drop"    // a permit that has not begun
	DoForget  Do = "forget"  // a member that does not come back
	DoHalt    Do = "halt"    // all
	DoResume  Do = "resume"  // all
	DoRelease Do = "release" // start one
	DoBack    Do = "back"    // the way back
	DoVerdict Do = "verdict" // on a wave
	DoTick    Do = "tick"    // time passes
	DoDrain   Do = "drain"   // ask for all of a group
	DoUndrain Do = "undrain" // drop those that have not begun
)

// Command is one line of the log.
type Command struct {
	Term    uint64              `json:"Term"` // of the leader who wrote it
	At      time.Duration       `json:"At"`   // since that began to lead, by a clock that does not jump
	Key     string              `json:"Key"`  // the same key is the same command, however often it comes; empty: each counts
	By      string              `json:"By"`
	Do      Do                  `json:"Do"`
	Seen    []Seen              `json:"Seen"`
	Budgets []Budget            `json:"Budgets"`
	Member  Name                `json:"Member"`
	Of      members.Incarnation `json:"Of"`
	Group   Match               `json:"Group"`
	Number  Number              `json:"Number"`
	Span    time.Duration       `json:"Span"`
	Why     string              `json:"Why"`
	Plan    *Plan               `json:"Plan"`
	Release string              `json:"Release"` // whose verdict
	Wave    int                 `json:"Wave"`
	Good    bool                `json:"Good"`
}

// Reply is what became of a command.
type Reply struct {
	OK      bool     `json:"OK"`
	Why     string   `json:"Why"` // what is wrong, or what is waited for
	Number  Number   `json:"Number"`
	Numbers []Number `json:"Numbers,omitempty"`
}

// Entry is one command of the history.
type Entry struct {
	Nth  uint64        `json:"Nth"`
	Now  time.Duration `json:"Now"`
	By   string        `json:"By"`
	Do   Do            `json:"Do"`
	What string        `json:"What"`
	Reply
}

// State is all that is agreed. Its fields are read by whoever shows it; only Apply changes them.
type State struct {
	Told    Told               `json:"Told"`
	Now     time.Duration      `json:"Now"` // the sum of the time that leaders were there
	Term    uint64             `json:"Term"`
	LastAt  time.Duration      `json:"LastAt"`
	Members map[Name]*Member   `json:"Members"`
	Budgets []Budget           `json:"Budgets"`
	Permits map[Number]*Permit `json:"Permits"` // that have not ended
	Waiting []Number           `json:"Waiting"` // in the order of asking
	Last    Number             `json:"Last"`
	Halted  *Halt              `json:"Halted"`
	Release *Release           `json:"Release"`
	Keys    map[string]Reply   `json:"Keys"`
	KeyRing []string           `json:"KeyRing"`
	History []Entry            `json:"History"`
	Nth     uint64             `json:"Nth"`
	Over    []Permit           `json:"Over"` // that ended, the latest last
}

// New is a fleet that has agreed on nothing: without a budget nobody goes out.
func New(told Told) *State {
	return &State{Told: told, Members: map[Name]*Member{}, Permits: map[Number]*Permit{}, Keys: map[string]Reply{}}
}

// Apply carries one command out.
func (s *State) Apply(c Command) Reply {
	s.pass(c)
	if c.Key != "" {
		if r, known := s.Keys[c.Key]; known { // Danger: a client that heard no answer asks again, and gets a second permit
			return r
		}
	}
	r := s.do(c)
	if c.Key != "" {
		s.Keys[c.Key] = r
		s.KeyRing = append(s.KeyRing, c.Key)
		if len(s.KeyRing) > s.Told.Keys {
			delete(s.Keys, s.KeyRing[0])
			s.KeyRing = slices.Delete(s.KeyRing, 0, 1)
		}
	}
	if c.Do != DoTick && c.Do != DoSee {
		s.Nth++
		s.History = append(s.History, Entry{s.Nth, s.Now, c.By, c.Do, c.what(), r})
		if len(s.History) > s.Told.History {
			s.History = slices.Delete(s.History, 0, len(s.History)-s.Told.History)
		}
	}
	s.expire()
	s.advance()
	s.grant()
	return r
}

// what is a command in a few words.
func (c Command) what() string {
	switch {
	case c.Do == DoRelease && c.Plan != nil:
		return c.Plan.Name + " to " + c.Plan.To
	case c.Do == DoVerdict:
		return fmt.Sprintf("%s wave %d good=%v %s", c.Release, c.Wave+1, c.Good, c.Why)
	case c.Do == DoBudgets:
		return fmt.Sprintf("%d budgets", len(c.Budgets))
	case c.Number > 0:
		return fmt.Sprintf("permit %d %s", c.Number, c.Member)
	case c.Member != "":
		return string(c.Member)
	}
	return cmp.Or(c.Why, c.Group.String())
}

// pass has the time go on. Danger: stewards' clocks that are an hour apart. Only what passes while one leads counts, by his own clock, so a new one
// can make spans longer and never shorter.
func (s *State) pass(c Command) {
	if c.Term != s.Term {
		s.Term, s.LastAt = c.Term, c.At
		return
	}
	if c.At > s.LastAt {
		s.Now += c.At - s.LastAt
		s.LastAt = c.At
	}
}

func no(why string, args ...any) Reply { return Reply{Why: fmt.Sprintf(why, args...)} }

func (s *State) do(c Command) Reply {
	switch c.Do {
	case DoTick:
		return Reply{OK: true}
	case DoSee:
		for _, x := range c.Seen {
			s.see(x)
		}
		return Reply{OK: true}
	case DoBudgets:
		for _, b := range c.Budgets {
			if b.Name == "" || b.Most < 0 && !(b.Share >= 0 && b.Share <= 1) || math.IsNaN(b.Least) {
				return no("budget %q: wants a name, and most or a share from 0 to 1", b.Name)
			}
		}
		s.Budgets = slices.Clone(c.Budgets)
		return Reply{OK: true}
	case DoAsk:
		return s.ask(c.Member, c.By, cmp.Or(c.Why, "drain"), c.Span)
	case DoDrain:
		r := Reply{OK: true}
		for _, name := range slices.Sorted(maps.Keys(s.Members)) {
			m := s.Members[name]
			if !c.Group.has(m.Seen) || m.Why != Up || m.Permit > 0 {
				continue
			}
			if one := s.ask(name, c.By, "drain", c.Span); one.OK {
				r.Numbers = append(r.Numbers, one.Number)
			} else {
				return Reply{Why: string(name) + ": " + one.Why, Numbers: r.Numbers}
			}
		}
		if len(r.Numbers) == 0 {
			return no("nobody in %v is up and without a permit", c.Group)
		}
		return r
	case DoUndrain:
		r := Reply{OK: true}
		for _, p := range s.inOrder() {
			if m := s.Members[p.Member]; p.Why == "drain" && p.Stage != Begun && (c.Member == p.Member || c.Member == "" && m != nil && c.Group.has(m.Seen)) {
				r.Numbers = append(r.Numbers, p.Number)
				s.end(p, "dropped by "+c.By)
			}
		}
		return r
	case DoBegin:
		return s.begin(c)
	case DoDrop:
		p := s.Permits[c.Number]
		switch {
		case p == nil:
			return no("permit %d is over", c.Number)
		case p.Stage == Begun:
			return no("permit %d has begun, and finishes", c.Number)
		}
		s.end(p, "dropped by "+c.By)
		return Reply{OK: true, Number: c.Number}
	case DoForget:
		m := s.Members[c.Member]
		switch {
		case m == nil:
			return no("no member %q", c.Member)
		case m.Why == Up || m.Why == Cold || m.Why == Joining:
			return no("%s is there", c.Member)
		}
		if p := s.Permits[m.Permit]; p != nil {
			s.end(p, "forgotten by "+c.By)
		}
		delete(s.Members, c.Member)
		return Reply{OK: true}
	case DoHalt:
		s.halt(c.By, cmp.Or(c.Why, "told to"))
		return Reply{OK: true}
	case DoResume:
		if s.Halted == nil {
			return no("nothing is halted")
		}
		s.Halted = nil
		if s.Release != nil {
			s.Release.resumed(s.Now)
		}
		return Reply{OK: true}
	case DoRelease:
		return s.start(c)
	case DoBack:
		return s.back(c)
	case DoVerdict:
		return s.verdict(c)
	}
	return no("no command %q", c.Do)
}

func (g Match) has(m Seen) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	if g.Role != "" {
		r, bad := members.ParseRoles([]string{g.Role})
		if bad != "" || m.Roles&r == 0 {
			return false
		}
	}
	return is(g.Zone, m.Zone) && is(g.Release, m.Release) && is(g.Below, m.Below)
}

// see takes a member as it is now.
func (s *State) see(x Seen) {
	m := s.Members[x.Name]
	if m == nil {
		if len(s.Members) >= s.Told.Members || x.Why == Gone { // who was never here is not out
			return
		}
		m = &Member{Since: s.Now}
		s.Members[x.Name] = m
	}
	// Danger: an old life's word, which came late, taken for the new one's.
	if x.Incarnation < m.Incarnation {
		return
	}
	if x.Why != m.Why || x.Incarnation != m.Incarnation {
		m.Since = s.Now
	}
	m.Seen = x
	p := s.Permits[m.Permit]
	if p == nil {
		m.Permit = 0
		return
	}
	switch {
	case p.Stage == Begun && x.Why == Up && x.Incarnation != p.Of:
		s.end(p, "back")
		s.returned(m, p)
	case p.Stage != Begun && p.Of != 0 && x.Incarnation != p.Of: // who held it is over; the next life holds nothing
		s.end(p, "its life was over before it began")
	case p.Stage == Queued && x.Why != Up: // it is out anyway
		s.end(p, "out already: "+string(x.Why))
	}
}

// limit is how many of a budget's group may be out at once, of so many.
func (b Budget) limit(of int) int {
	if b.Most >= 0 {
		return b.Most
	}
	return int(b.Share * float64(of))
}

// Use is how a budget stands.
type Use struct {
	Budget Budget  `json:"Budget"`
	Of     int     `json:"Of"`    // members of the group
	Out    int     `json:"Out"`   // of them, for any reason, permits that have been granted among them
	Limit  int     `json:"Limit"` // that may be
	Up     float64 `json:"Up"`    // capacity
}

// out tells whether a member is out, or may be at any moment without asking again.
func (s *State) out(m *Member) bool {
	if m.Why != Up {
		return true
	}
	p := s.Permits[m.Permit]
	return p != nil && p.Stage != Queued
}

// Use works out how a budget stands.
func (s *State) Use(b Budget) (u Use) {
	u.Budget = b
	for _, m := range s.Members {
		if !b.Of.has(m.Seen) {
			continue
		}
		u.Of++
		if s.out(m) {
			u.Out++
		} else {
			u.Up += m.Capacity
		}
	}
	u.Limit = b.limit(u.Of)
	return u
}

// fits tells whether one more member may go out now, else what that waits for; never is that no order of things would let it.
func (s *State) fits(m *Member) (why string, never bool) {
	if len(s.Budgets) == 0 {
		return "there is no budget", true
	}
	held := false
	for _, b := range s.Budgets {
		if !b.Of.has(m.Seen) {
			continue
		}
		held = true
		u := s.Use(b)
		whole := 0.0
		for _, x := range s.Members {
			if b.Of.has(x.Seen) {
				whole += x.Capacity
			}
		}
		switch {
		case u.Limit < 1:
			return fmt.Sprintf("budget %s lets none of %d go out", b.Name, u.Of), true
		case whole-m.Capacity < b.Least:
			return fmt.Sprintf("budget %s wants %g cores up, and all but this one have %g", b.Name, b.Least, whole-m.Capacity), true
		case why != "":
		case u.Out+1 > u.Limit:
			why = fmt.Sprintf("budget %s: %d of %d out, %d may be", b.Name, u.Out, u.Of, u.Limit)
		case u.Up-m.Capacity < b.Least:
			why = fmt.Sprintf("budget %s: %g cores up, %g wanted", b.Name, u.Up, b.Least)
		}
	}
	if !held {
		return "no budget speaks of it", true
	}
	return why, false
}

// ask has a member wait for its permit.
func (s *State) ask(name Name, by, why string, span time.Duration) Reply {
	m := s.Members[name]
	switch {
	case m == nil:
		return no("no member %q", name)
	case m.Permit > 0:
		p := s.Permits[m.Permit]
		return Reply{OK: true, Number: p.Number, Why: "it has one: " + string(p.Stage)}
	case m.Why != Up:
		return no("%s is out: %s", name, m.Why)
	case len(s.Waiting) >= s.Told.Waiting:
		return no("%d wait already", len(s.Waiting))
	}
	// Danger: what can never be granted waits for ever, and everybody behind it with it.
	if cause, never := s.fits(m); never {
		return no("never: %s", cause)
	}
	if span <= 0 {
		span = 30 * time.Second
	}
	s.Last++
	p := &Permit{Number: s.Last, Member: name, By: by, Why: why, Stage: Queued, Asked: s.Now, At: s.Now, Span: span}
	s.Permits[p.Number] = p
	s.Waiting = append(s.Waiting, p.Number)
	m.Permit = p.Number
	return Reply{OK: true, Number: p.Number}
}

// grant gives leave to whoever fits, in the order of asking. One that does not fit lets others by, so many times; then what it waits for is kept
// free for it.
func (s *State) grant() {
	if s.Halted != nil {
		for _, n := range s.Waiting {
			s.Permits[n].Waits = "halted"
		}
		return
	}
	var kept []Match // groups in which nobody goes before one that was passed over too often
	rest := s.Waiting[:0]
	for _, n := range s.Waiting {
		p := s.Permits[n]
		m := s.Members[p.Member]
		why, never := s.fits(m)
		switch {
		case never: // the budgets have changed under it
			p.Stage = Granted // it is off the queue already
			s.end(p, "never: "+why)
			continue
		case why == "" && slices.ContainsFunc(kept, func(g Match) bool { return g.has(m.Seen) }):
			why = "others have waited longer"
		}
		if p.Waits = why; why != "" {
			if p.Passed >= s.Told.Passed {
				for _, b := range s.Budgets {
					if b.Of.has(m.Seen) {
						kept = append(kept, b.Of)
					}
				}
			}
			rest = append(rest, n)
			continue
		}
		for _, before := range rest {
			s.Permits[before].Passed++
		}
		p.Stage, p.At, p.Of = Granted, s.Now, m.Incarnation
	}
	s.Waiting = rest
}

// begin is the last moment at which a permit can be refused: its holder goes out when it has heard that this was agreed, and not before. So
// what is withdrawn, halted or expired has not begun, whatever clock the holder goes by and however long it slept.
func (s *State) begin(c Command) Reply {
	p := s.Permits[c.Number]
	switch {
	case p == nil:
		return no("permit %d is over", c.Number)
	case p.Member != c.Member || p.Of != c.Of:
		return no("permit %d is another's", c.Number)
	case p.Stage == Begun:
		return Reply{OK: true, Number: p.Number}
	case p.Stage != Granted:
		return no("permit %d is %s", c.Number, p.Stage)
	}
	// Behind each command what is halted, has run out or overdraws a budget is withdrawn: what is still granted may begin.
	p.Stage, p.At = Begun, s.Now
	return Reply{OK: true, Number: p.Number}
}

// overdrawn tells which budget of a member is over its limit.
func (s *State) overdrawn(m *Member) string {
	for _, b := range s.Budgets {
		if !b.Of.has(m.Seen) {
			continue
		}
		if u := s.Use(b); u.Out > u.Limit || u.Up < b.Least {
			return fmt.Sprintf("budget %s: %d of %d out, %d may be", b.Name, u.Out, u.Of, u.Limit)
		}
	}
	return ""
}

// expire ends permits that were not begun in time, and withdraws those that have not begun where crashes have overdrawn a budget, the last one
// granted first.
func (s *State) expire() {
	all := s.inOrder()
	slices.Reverse(all)
	for _, p := range all {
		if p.Stage != Granted {
			continue
		}
		m := s.Members[p.Member]
		switch over := s.overdrawn(m); {
		case s.Now-p.At >= p.Span:
			s.end(p, "not begun in time")
		case m.Why != Up:
			s.end(p, "out already: "+string(m.Why))
		case over != "":
			s.end(p, "withdrawn: "+over)
		}
	}
}

// inOrder gives the permits by number.
func (s *State) inOrder() (all []*Permit) {
	for _, n := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, s.Permits[n])
	}
	return all
}

// end is the end of a permit.
func (s *State) end(p *Permit, how string) {
	if p.Stage == Queued {
		s.Waiting = slices.DeleteFunc(s.Waiting, func(n Number) bool { return n == p.Number })
	}
	p.Stage, p.At, p.Outcome = Ended, s.Now, how
	delete(s.Permits, p.Number)
	if m := s.Members[p.Member]; m != nil && m.Permit == p.Number {
		m.Permit = 0
	}
	s.Over = append(s.Over, *p)
	if len(s.Over) > s.Told.History {
		s.Over = slices.Delete(s.Over, 0, len(s.Over)-s.Told.History)
	}
}

// halt has nothing further begin, from the moment that it is agreed.
func (s *State) halt(by, why string) {
	if s.Halted == nil {
		s.Halted = &Halt{s.Now, by, why}
	}
	for _, p := range s.inOrder() {
		if p.Stage == Granted {
			s.end(p, "withdrawn: halted")
		}
	}
}
