package keyring

import (
	"time"

	"lanewheel/internal/authz"
)

// Keyring is the set in force, and when the folder is looked at again. It belongs to the owner loop.
type Keyring struct {
	set            *KeySet
	generation     uint64
	removed        map[KeyID]bool          // keys that were in force and whose files are gone
	removedOrder   []KeyID                 // the oldest first
	notFound       map[KeyID]time.Duration // when a look that did not find it was begun
	notFoundOrder  []KeyID
	reloadInterval time.Duration // between looks for unknown keys
	reloadStarted  time.Duration // when the last look was begun
	reloading      bool
	everReloaded   bool
}

// maxRememberedIDs is how many ids that are no keys are noted: forged ones push each other out, and cost a look at most.
const maxRememberedIDs = 1024

// NewKeyring starts with a set. every is the least time between two looks at the folder for unknown keys.
func NewKeyring(set *KeySet, reloadInterval time.Duration) *Keyring {
	return &Keyring{set: set, generation: 1, reloadInterval: reloadInterval, removed: map[KeyID]bool{}, notFound: map[KeyID]time.Duration{}}
}

// Generation changes with each set that is another one.
func (r *Keyring) Generation() uint64 { return r.generation }

// Reloading tells whether a look is under way.
func (r *Keyring) Reloading() bool { return r.reloading }

// Set is the one in force.
func (r *Keyring) Set() *KeySet { return r.set }

// Replace puts a new set in force and tells whether it is another one. Keys that are no longer in it count as withdrawn.
func (r *Keyring) Replace(set *KeySet) bool {
	if r.set != nil && set != nil && r.set.digest == set.digest {
		return false
	}
	for _, old := range r.set.Keys() {
		if set.Find(old.ID) == nil && !r.removed[old.ID] {
			r.removed[old.ID] = true
			r.removedOrder = append(r.removedOrder, old.ID)
			if len(r.removedOrder) > maxRememberedIDs {
				delete(r.removed, r.removedOrder[0])
				r.removedOrder = r.removedOrder[1:]
			}
		}
	}
	r.set = set
	r.generation++
	clear(r.notFound)
	r.notFoundOrder = r.notFoundOrder[:0]
	return true
}

// Find tells of a key at a moment: nil with the reason if it does not count then.
func (r *Keyring) Find(id KeyID, wall time.Time) (*Key, authz.Denial) {
	key := r.set.Find(id)
	switch {
	case key != nil:
		if denial := key.CheckTime(wall); denial != "" {
			return nil, denial
		}
		return key, ""
	case r.removed[id]:
		return nil, Withdrawn
	}
	return nil, UnknownKey
}

// UnknownKeyAction is what an unknown key leads to.
type UnknownKeyAction int

const (
	Deny       UnknownKeyAction = iota // the folder was looked at for this key a moment ago
	Reload                             // look at the folder now, and decide then
	Await                              // a look is under way
	RetryLater                         // the next look may be begun after a while
)

// ResolveUnknown decides what an unknown key leads to: one look at the folder for all that ask, not one each. Danger: forged tokens
// with ever new ids would keep the disk busy, and hold up a key that was published a moment ago.
func (r *Keyring) ResolveUnknown(now time.Duration, id KeyID) (UnknownKeyAction, time.Duration) {
	if at, recent := r.notFound[id]; recent && now-at < r.reloadInterval {
		return Deny, 0
	}
	switch {
	case r.reloading:
		return Await, 0
	case r.everReloaded && now-r.reloadStarted < r.reloadInterval:
		return RetryLater, r.reloadInterval - (now - r.reloadStarted)
	}
	r.reloading, r.everReloaded, r.reloadStarted = true, true, now
	return Reload, 0
}

// ReloadDone hears that a look is over, after Replace if it brought a set. Those ids that were sought and are still unknown are
// denied for as long as no other look may begin.
func (r *Keyring) ReloadDone(sought []KeyID) {
	r.reloading = false
	for _, id := range sought {
		if r.set.Find(id) != nil {
			continue
		}
		if _, known := r.notFound[id]; !known {
			r.notFoundOrder = append(r.notFoundOrder, id)
			if len(r.notFoundOrder) > maxRememberedIDs {
				delete(r.notFound, r.notFoundOrder[0])
				r.notFoundOrder = r.notFoundOrder[1:]
			}
		}
		r.notFound[id] = r.reloadStarted
	}
}
