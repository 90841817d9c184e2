package membership

import (
	"cmp"
	"iter"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

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
