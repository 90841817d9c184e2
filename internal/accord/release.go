package accord

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Wave is a part of the fleet that a release goes to at one time: so many, such a share of all that it is meant for, or a zone's; the last wave takes
// the rest.
type Wave struct {
	Count int     `json:"Count"`
	Share float64 `json:"Share"`
	Zone  string  `json:"Zone"`
}

// Plan is a release as it is told.
type Plan struct {
	Name   string        `json:"Name"`
	To     string        `json:"To"` // the release that it brings
	Of     Match         `json:"Of"` // whom it is meant for
	Waves  []Wave        `json:"Waves"`
	Pause  time.Duration `json:"Pause"`  // after each wave, until it is judged at the earliest
	Judged bool          `json:"Judged"` // whether a wave waits for a verdict; else the pause alone counts
	Faster float64       `json:"Faster"` // how many waves go back at a time
	Tries  int           `json:"Tries"`  // times that one may come back as it was before the release waits for an operator
}

// Phase is where a release stands.
type Phase string

const (
	Going   Phase = "going"
	Judging Phase = "judging"
	Backing Phase = "going back"
	Done    Phase = "done"
	Undone  Phase = "back"
)

// Release is one on its way. There is one at a time.
type Release struct {
	Plan
	By     string        `json:"By"`
	Phase  Phase         `json:"Phase"`
	Wave   int           `json:"Wave"` // from 0; of the way back the wave that it has come down to
	Since  time.Duration `json:"Since"`
	Of     [][]Name      `json:"Of"`     // by wave, worked out when it starts
	Waits  string        `json:"Waits"`  // what it waits for
	Judged bool          `json:"Judged"` // the wave has its verdict
	Why    string        `json:"Why"`
}

// For tells whether a release is meant for a member, whichever it has now.
func (r *Release) For(m Seen) bool { return r.Plan.Of.has(m) }

// Running tells whether a release is on its way.
func (r *Release) Running() bool {
	return r != nil && (r.Phase == Going || r.Phase == Judging || r.Phase == Backing)
}

// start begins a release. Danger: two operators that start two at once.
func (s *State) start(c Command) Reply {
	p := c.Plan
	switch {
	case p == nil || p.Name == "" || p.To == "":
		return no("wants a name, and the release that it brings")
	case s.Release.Running():
		return no("release %s is %s", s.Release.Name, s.Release.Phase)
	case s.Halted != nil:
		return no("halted: %s", s.Halted.Why)
	}
	var all []*Member
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; p.Of.has(m.Seen) && m.Release != p.To {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return no("nobody in %v is on another release than %s", p.Of, p.To)
	}
	r := &Release{Plan: *p, By: c.By, Phase: Going, Since: s.Now}
	whole := len(all)
	waves := append(slices.Clone(p.Waves), Wave{Share: 1})
	for _, w := range waves {
		n := w.Count
		if n == 0 {
			n = max(1, int(w.Share*float64(whole)))
		}
		var now []Name
		all = slices.DeleteFunc(all, func(m *Member) bool {
			if len(now) >= n && w.Zone == "" || w.Zone != "" && m.Zone != w.Zone {
				return false
			}
			now = append(now, m.Name)
			return true
		})
		if len(now) > 0 {
			r.Of = append(r.Of, now)
		}
	}
	for _, m := range s.Members {
		m.Before, m.Tries = m.Release, 0
	}
	s.Release = r
	return Reply{OK: true}
}

// back turns a release round: waves in reverse, under the same budgets. Also from a half-done wave, from a halt, and of one that is done.
func (s *State) back(c Command) Reply {
	r := s.Release
	switch {
	case r == nil:
		return no("there was no release")
	case r.Phase == Backing || r.Phase == Undone:
		return no("release %s is %s", r.Name, r.Phase)
	}
	s.Halted = nil // the way back is what is to begin
	for _, p := range s.inOrder() {
		if p.Why == "release" && p.Stage != Begun {
			s.end(p, "the release goes back")
		}
	}
	r.Phase, r.Since, r.Why = Backing, s.Now, c.Why
	r.Wave = min(r.Wave, len(r.Of)-1)
	for _, m := range s.Members {
		m.Tries = 0
	}
	return Reply{OK: true}
}

// verdict takes what was judged of a wave. One that came late is of an earlier wave, and counts for nothing.
func (s *State) verdict(c Command) Reply {
	r := s.Release
	switch {
	case r == nil || r.Name != c.Release || r.Wave != c.Wave || r.Phase != Going && r.Phase != Judging:
		return no("no wave %d of %s is judged", c.Wave+1, c.Release)
	case !c.Good: // also before the wave is whole
		r.Why = c.Why
		s.halt(c.By, "release "+r.Name+": "+c.Why)
	case r.Phase == Judging:
		r.Judged = true
	default:
		return no("wave %d of %s is not whole yet", c.Wave+1, c.Release)
	}
	return Reply{OK: true}
}

// resumed has a wave judged anew: what was seen before the halt is over.
func (r *Release) resumed(now time.Duration) {
	if r.Phase == Judging {
		r.Since, r.Judged = now, false
	}
}

// returned takes a member that came back from a permit.
func (s *State) returned(m *Member, p *Permit) {
	// One that went out for the release before it turned round did what it was to do.
	if r := s.Release; r.Running() && p.Why == r.why() && m.Release != s.wanted(m) {
		m.Tries++
	}
}

// why is what its permits are for.
func (r *Release) why() string {
	if r.Phase == Backing {
		return "back"
	}
	return "release"
}

// wanted is the release that a member is to have by the one on its way.
func (s *State) wanted(m *Member) string {
	if s.Release.Phase == Backing {
		return m.Before
	}
	return s.Release.To
}

// advance takes a release on by what has come to be, as far as that goes.
func (s *State) advance() {
	for r := s.Release; r.Running(); {
		phase, wave := r.Phase, r.Wave
		if s.step(r); r.Phase == phase && r.Wave == wave {
			return
		}
	}
}

func (s *State) step(r *Release) {
	if s.Halted != nil {
		r.Waits = "halted: " + s.Halted.Why
		return
	}
	switch r.Phase {
	case Going:
		if s.bring(r.Of[r.Wave]) {
			r.Phase, r.Since, r.Judged = Judging, s.Now, false
		}
	case Judging:
		switch {
		case s.Now-r.Since < r.Pause:
			r.Waits = fmt.Sprintf("wave %d is looked at", r.Wave+1)
		case r.Plan.Judged && !r.Judged:
			r.Waits = fmt.Sprintf("the verdict on wave %d", r.Wave+1)
		case r.Wave+1 < len(r.Of):
			r.Phase, r.Wave, r.Since = Going, r.Wave+1, s.Now
		default:
			r.Phase, r.Since, r.Waits = Done, s.Now, ""
		}
	case Backing:
		// Several waves at a time: faster than it came, and never by more than the budgets let out.
		down := max(0, r.Wave+1-max(1, int(r.Faster)))
		var all []Name
		for w := r.Wave; w >= down; w-- {
			all = append(all, r.Of[w]...)
		}
		if !s.bring(all) {
			return
		}
		if down == 0 {
			r.Phase, r.Since, r.Waits = Undone, s.Now, ""
			return
		}
		r.Wave, r.Since = down-1, s.Now
	}
}

// bring has all of some members go over to the release that they are to have, and tells whether they all have, and are up.
func (s *State) bring(names []Name) bool {
	r := s.Release
	whole := true
	r.Waits = ""
	wait := func(text string, args ...any) {
		whole = false
		if r.Waits == "" {
			r.Waits = fmt.Sprintf(text, args...)
		}
	}
	for _, name := range names {
		m := s.Members[name]
		if m == nil { // forgotten meanwhile
			continue
		}
		p := s.Permits[m.Permit]
		switch {
		case m.Why == Up && m.Release == s.wanted(m) && p == nil:
		case p != nil && p.Stage == Begun && s.Now-p.At > s.Told.Stuck:
			wait("%s has been out for %v and does not come back", name, (s.Now - p.At).Round(time.Second))
		case p != nil && p.Stage == Queued && p.Waits != "":
			wait("%s: %s", name, p.Waits)
		case p != nil:
			wait("%s: permit %d is %s", name, p.Number, p.Stage)
		case m.Why != Up:
			wait("%s is out: %s", name, m.Why)
		case m.Tries >= max(1, r.Tries):
			wait("%s came back %d times on %s", name, m.Tries, m.Release)
		default:
			if reply := s.ask(name, r.Name, r.why(), 0); !reply.OK {
				wait("%s: %s", name, reply.Why)
			} else {
				wait("%s: permit %d is queued", name, reply.Number)
			}
		}
	}
	return whole
}
