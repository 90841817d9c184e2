// Package membership decides who is there: which processes make up the fleet, in which state each is, what is believed of it, and
// how far this process may trust its own eyes. It is pure: what came is handed in with its time, and chance is an argument; the
// part that speaks is internal/fleet/gossip. docs/fleet.md has the table of states.
package membership

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

// BootID is drawn at each start. It tells two processes apart that came under one name and number.
type BootID uint64

// ID is one life of a name, as the gossip knows it.
type ID struct {
	Name   Name
	BootID BootID
}

func (id ID) String() string { return fmt.Sprintf("%s@%016x", id.Name, uint64(id.BootID)) }

// ParseID reads what String wrote.
func ParseID(text string) (id ID, ok bool) {
	separator := strings.LastIndexByte(text, '@')
	if separator <= 0 || len(text)-separator-1 != 16 {
		return id, false
	}
	bootID, err := strconv.ParseUint(text[separator+1:], 16, 64)
	if err != nil {
		return id, false
	}
	return ID{Name(text[:separator]), BootID(bootID)}, true
}

// Roles is a set of what a member does for the fleet.
type Roles uint8

const (
	RoleServer      Roles = 1 << iota // serves ops
	RoleProxy                         // passes ops on
	RoleCoordinator                   // holds what the fleet has agreed
	RoleUpstream                      // is a service that instances call
)

var roleNames = []string{"instance", "relay", "steward", "below"}

func (r Roles) String() string {
	var names []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// ParseRoles reads names of roles; bad is the first that is none.
func ParseRoles(names []string) (roles Roles, unknown string) {
next:
	for _, name := range names {
		for i, known := range roleNames {
			if name == known {
				roles |= 1 << i
				continue next
			}
		}
		return roles, name
	}
	return roles, ""
}

// Descriptor is what a member says it is, for the whole of its life.
type Descriptor struct {
	Name        Name
	Incarnation Incarnation
	BootID      BootID
	GossipAddr  string // where its gossip is reached
	ServiceAddr string // where it takes ops; empty for one that takes none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // told: what it does beside the others, in cores
	WarmUp      time.Duration // how long it takes from ready to its full pace
}

// ID is the life that claims.
func (c Descriptor) ID() ID { return ID{c.Name, c.BootID} }

// olderThan tells whether a claim is of an earlier life of the name than another. Two of one number are told apart by their
// lives, so that all who hear both decide alike.
func (c Descriptor) olderThan(other Descriptor) bool {
	return c.Incarnation < other.Incarnation || c.Incarnation == other.Incarnation && c.BootID < other.BootID
}

// Metric is one thing that a member says of itself for now.
type Metric struct {
	Name       string
	Value      float64
	TTL        time.Duration // for how long it is believed
	MeasuredAt time.Duration // by our own time; how old it was when it came is taken off
}

// Heartbeat is what a member says from time to time. Its times are spans, as clocks differ.
type Heartbeat struct {
	ID
	Incarnation Incarnation
	Sequence    uint64 // the later one counts, by whatever way it came
	Ready       bool   // it can serve
	ReadyFor    time.Duration
	Draining    bool
	ViewDigest  uint64 // of its view, itself in it; 0 for none
	Metrics     []Metric
}

// State is where a member stands.
type State uint8

const (
	StateJoining State = iota // its claim was heard, not yet that it can serve
	StateWarming              // it serves, below its full pace
	StateUp
	StateSuspect // in doubt, see Reason
	StateLeaving // it said so
	StateGone    // left, or given up
	StateFenced  // a later life has its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Available tells whether work may be meant for a member in this state.
func (s State) Available() bool { return s == StateWarming || s == StateUp }

// Reason is why a member is in its state.
type Reason string

const (
	ReasonDiscovered  Reason = "claimed"
	ReasonReady       Reason = "ready"
	ReasonWarmedUp    Reason = "warmed"
	ReasonUnreachable Reason = "unreached" // the detector has given it up
	ReasonSilent      Reason = "mute"      // its gossip lives, its program says nothing
	ReasonFlapping    Reason = "flapping"  // it came back too often of late
	ReasonRecovered   Reason = "returned"
	ReasonDraining    Reason = "said" // that it leaves
	ReasonLeft        Reason = "left"
	ReasonTimedOut    Reason = "given-up" // in doubt for too long
	ReasonSuperseded  Reason = "superseded"
)

// Member is one member as it is believed to be. It is a value: nobody changes it.
type Member struct {
	Descriptor
	State       State
	Reason      Reason
	StateSince  time.Duration // when it came into the state, by our own time
	Sequence    uint64
	HeartbeatAt time.Duration // when its last bulletin was written, by our own time
	Metrics     []Metric      // the last that it published, never changed in place

	fingerprint           uint64 // Mark of its life
	viewDigest            uint64 // of its view, as of Spoke
	ready                 bool
	readyFor              time.Duration // how long it had been ready at its last bulletin
	warmUpUntil           time.Duration // when it is warm
	unreachable           bool          // the detector does not reach it
	unreachableSince      time.Duration // since when, by the judgement's clock
	unreachableReportedAt time.Duration // when that was said, by our own time
	flapExempt            bool          // it was lost while we were not sound ourselves, or with many others
	lastHeardAt           time.Duration // when it last spoke or came back, by the judgement's clock
	flapPenalty           float64       // for coming back, as of penaltyAt
	flapPenaltyAt         time.Duration
	flapSuppressed        bool
}

// Metric gives a fact that is still believed, and how old it is.
func (m Member) Metric(name string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			age = now - metric.MeasuredAt
			return metric.Value, age, age <= metric.TTL
		}
	}
	return 0, 0, false
}

// WarmUpRemaining is how long a member still has to its full pace.
func (m Member) WarmUpRemaining(now time.Duration) time.Duration { return max(0, m.warmUpUntil-now) }

// Heartbeat gives the last one that a member published, less what it said to stand for, and how old it is.
func (m Member) Heartbeat(now time.Duration) (heartbeat Heartbeat, age time.Duration) {
	return Heartbeat{ID: m.ID(), Incarnation: m.Incarnation, Sequence: m.Sequence, Ready: m.ready, ReadyFor: m.readyFor, Draining: m.Reason == ReasonDraining, ViewDigest: m.viewDigest, Metrics: m.Metrics}, now - m.HeartbeatAt
}

// View is all that a process believes of the others, as of one version. It never changes; a later one shares what is the same.
type View struct {
	Version       uint64
	PublishedAt   time.Duration
	Self          Descriptor
	LocalHealth   LocalHealth
	HeardFraction float64 // what it hears of what it usually hears, 1 at most
	members       *immutable.SortedMap[Name, Member]
}

type nameComparer struct{}

func (nameComparer) Compare(a, b Name) int { return cmp.Compare(a, b) }

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
func (v *View) Count(state State) (count int) {
	for m := range v.All() {
		if m.State == state {
			count++
		}
	}
	return count
}

// Digest is the same for two views that hold the same lives to be here (joining, warming or up), in whatever order they came.
func (v *View) Digest() (digest uint64) {
	for m := range v.All() {
		if m.State.Available() || m.State == StateJoining {
			digest ^= m.fingerprint
		}
	}
	return digest
}

// Fingerprint is what one life adds to a digest, by exclusive or.
func Fingerprint(id ID) uint64 { return xxhash.Sum64String(id.String()) }
