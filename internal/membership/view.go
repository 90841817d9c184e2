package membership

import (
	"cmp"
	"iter"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// View is all that a process knows of the others, as of one version. It is immutable and may be read on any
// goroutine; a later one shares with it what is the same.
type View struct {
	Version       uint64
	PublishedAt   time.Duration
	Self          Descriptor
	LocalHealth   LocalHealth
	HeardFraction float64 // members heard of those that usually are, 1 at most
	members       *immutable.SortedMap[Name, Member]
}

type nameComparer struct{}

func (nameComparer) Compare(a, b Name) int { return cmp.Compare(a, b) }

// Get gives a member by its name.
func (v *View) Get(name Name) (Member, bool) { return v.members.Get(name) }

// Len is the number of members, in whatever state.
func (v *View) Len() int { return v.members.Len() }

// All iterates over the members in the order of their names.
func (v *View) All() iter.Seq[Member] { return allMembers(v.members) }

func allMembers(members *immutable.SortedMap[Name, Member]) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for it := members.Iterator(); !it.Done(); {
			if _, member, _ := it.Next(); !yield(member) {
				return
			}
		}
	}
}

// Count is the number of members in a state.
func (v *View) Count(state State) (count int) {
	for member := range v.All() {
		if member.State == state {
			count++
		}
	}
	return count
}

// Digest is the same for two views in which the same processes are joining, warming or up, in whatever order they came.
func (v *View) Digest() (digest uint64) {
	for member := range v.All() {
		if member.State.Available() || member.State == StateJoining {
			digest ^= member.fingerprint
		}
	}
	return digest
}

// Fingerprint is what one process adds to a view's digest, by exclusive or.
func Fingerprint(id ID) uint64 { return xxhash.Sum64String(id.String()) }
