package membership

import (
	"cmp"
	"iter"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// View is a snapshot of all other members that this process knows. It is immutable and may be read by any goroutine.
// Successive views share their unchanged parts.
type View struct {
	Version       uint64
	PublishedAt   time.Duration
	Self          Descriptor
	LocalHealth   LocalHealth
	HeardFraction float64 // number of members heard as a fraction of the usual number, at most 1
	members       *immutable.SortedMap[Name, Member]
}

type nameComparer struct{}

func (nameComparer) Compare(a, b Name) int { return cmp.Compare(a, b) }

// Get returns the member with the given name, and whether there is one.
func (v *View) Get(name Name) (Member, bool) { return v.members.Get(name) }

// Len returns the number of members in any state.
func (v *View) Len() int { return v.members.Len() }

// All returns an iterator over the members in the order of their names.
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

// Count returns the number of members in a state.
func (v *View) Count(state State) (count int) {
	for member := range v.All() {
		if member.State == state {
			count++
		}
	}
	return count
}

// Digest returns a digest of the processes that are joining, warming or up. It does not depend on the order in which
// they were added.
func (v *View) Digest() (digest uint64) {
	for member := range v.All() {
		if member.State.Available() || member.State == StateJoining {
			digest ^= member.fingerprint
		}
	}
	return digest
}

// Fingerprint returns the contribution of one process to the digest of a view. Contributions are combined by exclusive
// or.
func Fingerprint(id ID) uint64 { return xxhash.Sum64String(id.String()) }
