// Package members decides who is there: which processes make up the fleet, in which state each is, what is believed of it, and
// how far this process may trust its own eyes. It is pure: what came is handed in with its time, and chance is an argument; the
// part that speaks is internal/fleet/gossip. docs/fleet.md has the table of states.
package members

import (
	"cmp"
	"fmt"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// Name is what a member is called; it stays over restarts.
type Name string

// Incarnation is the fencing number of a name: who starts anew under it takes a higher one than any that was heard.
type Incarnation uint64

// Life is drawn at each start. It tells two processes apart that came under one name and number.
type Life uint64

// ID is one life of a name, as the gossip knows it.
type ID struct {
	Name Name
	Life Life
}

func (id ID) String() string { return fmt.Sprintf("%s@%016x", id.Name, uint64(id.Life)) }

// ReadID reads what String wrote.
func ReadID(text string) (id ID, ok bool) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 || len(text)-at-1 != 16 {
		return id, false
	}
	life, err := strconv.ParseUint(text[at+1:], 16, 64)
	if err != nil {
		return id, false
	}
	return ID{Name(text[:at]), Life(life)}, true
}

// Roles is a set of what a member does for the fleet.
type Roles uint8

const (
	Instance Roles = 1 << iota // serves ops
	Relay                      // passes ops on
	Steward                    // holds what the fleet has agreed
	Below                      // is a service that instances call
)

var roleNames = []string{"instance", "relay", "steward", "below"}

func (r Roles) String() string {
	var all []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			all = append(all, name)
		}
	}
	return strings.Join(all, "+")
}

// ReadRoles reads names of roles; bad is the first that is none.
func ReadRoles(names []string) (r Roles, bad string) {
next:
	for _, name := range names {
		for i, known := range roleNames {
			if name == known {
				r |= 1 << i
				continue next
			}
		}
		return r, name
	}
	return r, ""
}

// Claim is what a member says it is, for the whole of its life.
type Claim struct {
	Name        Name
	Incarnation Incarnation
	Life        Life
	Addr        string // where its gossip is reached
	Serves      string // where it takes ops; empty for one that takes none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // told: what it does beside the others, in cores
	Warm        time.Duration // how long it takes from ready to its full pace
}

// ID is the life that claims.
func (c Claim) ID() ID { return ID{c.Name, c.Life} }

// before tells whether a claim is of an earlier life of the name than another. Two of one number are told apart by their
// lives, so that all who hear both decide alike.
func (c Claim) before(other Claim) bool {
	return c.Incarnation < other.Incarnation || c.Incarnation == other.Incarnation && c.Life < other.Life
}

// Fact is one thing that a member says of itself for now.
type Fact struct {
	Key   string
	Value float64
	Holds time.Duration // for how long it is believed
	Taken time.Duration // by our own time; how old it was when it came is taken off
}

// Bulletin is what a member says from time to time. Its times are spans, as clocks differ.
type Bulletin struct {
	ID
	Incarnation Incarnation
	Seq         uint64 // the later one counts, by whatever way it came
	Ready       bool   // it can serve
	ReadyFor    time.Duration
	Leaving     bool
	Digest      uint64 // of its view, itself in it; 0 for none
	Facts       []Fact
}

// State is where a member stands.
type State uint8

const (
	Joining State = iota // its claim was heard, not yet that it can serve
	Warming              // it serves, below its full pace
	Up
	Suspect // in doubt, see Reason
	Leaving // it said so
	Gone    // left, or given up
	Fenced  // a later life has its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Here tells whether work may be meant for a member in this state.
func (s State) Here() bool { return s == Warming || s == Up }

// Reason is why a member is in its state.
type Reason string

const (
	Claimed    Reason = "claimed"
	Served     Reason = "ready"
	Warmed     Reason = "warmed"
	Unreached  Reason = "unreached" // the detector has given it up
	Mute       Reason = "mute"      // its gossip lives, its program says nothing
	Flapping   Reason = "flapping"  // it came back too often of late
	Returned   Reason = "returned"
	Said       Reason = "said" // that it leaves
	Left       Reason = "left"
	GivenUp    Reason = "given-up" // in doubt for too long
	Superseded Reason = "superseded"
)

// Member is one member as it is believed to be. It is a value: nobody changes it.
type Member struct {
	Claim
	State State
	Why   Reason
	Since time.Duration // when it came into the state, by our own time
	Seq   uint64
	Spoke time.Duration // when its last bulletin was written, by our own time
	Facts []Fact        // the last that it published, never changed in place

	mark    uint64 // Mark of its life
	digest  uint64 // of its view, as of Spoke
	ready   bool
	fit     time.Duration // how long it had been ready at its last bulletin
	warmAt  time.Duration // when it is warm
	lost    bool          // the detector does not reach it
	lostAt  time.Duration // since when, by the judgement's clock
	lostBy  time.Duration // when that was said, by our own time
	unsound bool          // it was lost while we were not sound ourselves, or with many others
	heard   time.Duration // when it last spoke or came back, by the judgement's clock
	penalty float64       // for coming back, as of penaltyAt
	penalAt time.Duration
	damped  bool
}

// Fact gives a fact that is still believed, and how old it is.
func (m Member) Fact(key string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, f := range m.Facts {
		if f.Key == key {
			age = now - f.Taken
			return f.Value, age, age <= f.Holds
		}
	}
	return 0, 0, false
}

// Cold is how long a member still has to its full pace.
func (m Member) Cold(now time.Duration) time.Duration { return max(0, m.warmAt-now) }

// Bulletin gives the last one that a member published, less what it said to stand for, and how old it is.
func (m Member) Bulletin(now time.Duration) (b Bulletin, age time.Duration) {
	return Bulletin{ID: m.ID(), Incarnation: m.Incarnation, Seq: m.Seq, Ready: m.ready, ReadyFor: m.fit, Leaving: m.Why == Said, Digest: m.digest, Facts: m.Facts}, now - m.Spoke
}

// View is all that a process believes of the others, as of one version. It never changes; a later one shares what is the same.
type View struct {
	Version  uint64
	At       time.Duration
	Self     Claim
	Standing Standing
	Reach    float64 // what it hears of what it usually hears, 1 at most
	members  *immutable.SortedMap[Name, Member]
}

type byName struct{}

func (byName) Compare(a, b Name) int { return cmp.Compare(a, b) }

// Get gives a member by its name.
func (v *View) Get(name Name) (Member, bool) { return v.members.Get(name) }

// Len is how many there are, in whatever state.
func (v *View) Len() int { return v.members.Len() }

// All goes through them in the order of their names.
func (v *View) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for it := v.members.Iterator(); !it.Done(); {
			if _, m, _ := it.Next(); !yield(m) {
				return
			}
		}
	}
}

// Count is how many are in a state.
func (v *View) Count(s State) (n int) {
	for m := range v.All() {
		if m.State == s {
			n++
		}
	}
	return n
}

// Digest is the same for two views that hold the same lives to be here (joining, warming or up), in whatever order they came.
func (v *View) Digest() (sum uint64) {
	for m := range v.All() {
		if m.State.Here() || m.State == Joining {
			sum ^= m.mark
		}
	}
	return sum
}

// Mark is what one life adds to a digest, by exclusive or.
func Mark(id ID) uint64 { return xxhash.Sum64String(id.String()) }

// Differ gives the names on which two views differ, with what each believes.
func Differ(a, b *View) iter.Seq2[Name, [2]string] {
	of := func(v *View, name Name) string {
		m, known := v.Get(name)
		if !known {
			return "unknown"
		}
		return fmt.Sprintf("%v %d", m.State, m.Incarnation)
	}
	return func(yield func(Name, [2]string) bool) {
		seen := map[Name]bool{}
		for _, v := range []*View{a, b} {
			for m := range v.All() {
				if seen[m.Name] {
					continue
				}
				seen[m.Name] = true
				if x, y := of(a, m.Name), of(b, m.Name); x != y && !yield(m.Name, [2]string{x, y}) {
					return
				}
			}
		}
	}
}
