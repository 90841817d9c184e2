package keyring

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/boundedmap"
)

// maxRememberedIDs bounds the ids that are no keys, or no longer: forged ones evict each other, and cost at most a read
// of the folder.
const maxRememberedIDs = 1024

// Keyring is the set in force, and decides when the folder is read again. It belongs to the event loop.
type Keyring struct {
	set      *KeySet                              // nil: no keys
	removed  boundedmap.Map[KeyID, struct{}]      // keys that were in force and whose files are gone
	notFound boundedmap.Map[KeyID, time.Duration] // ids that a read did not find, and when it was begun

	reloadInterval  time.Duration // between two reads for unknown keys
	reloadStartedAt time.Duration // when the last one was begun
	reloading       bool
	everReloaded    bool
}

// NewKeyring starts with a set. reloadInterval is the least time between two reads of the folder for unknown keys.
func NewKeyring(set *KeySet, reloadInterval time.Duration) *Keyring {
	return &Keyring{set: set, reloadInterval: reloadInterval}
}

// Reloading tells whether a read of the folder is under way.
func (r *Keyring) Reloading() bool { return r.reloading }

// Set is the one in force.
func (r *Keyring) Set() *KeySet { return r.set }

// Replace puts a set in force and tells whether it is another one. Keys that are no longer in it count as withdrawn.
func (r *Keyring) Replace(set *KeySet) bool {
	if r.set != nil && set != nil && r.set.digest == set.digest {
		return false
	}
	for _, old := range r.set.Keys() {
		if set.Find(old.ID) == nil {
			r.removed.Put(old.ID, struct{}{}, maxRememberedIDs)
		}
	}
	r.set = set
	r.notFound.Clear()
	return true
}

// Find gives a key that counts at a moment, or why there is none.
func (r *Keyring) Find(id KeyID, wall time.Time) (*Key, authz.Denial) {
	if key := r.set.Find(id); key != nil {
		if denial := key.CheckTime(wall); denial != "" {
			return nil, denial
		}
		return key, ""
	}
	if _, removed := r.removed.Get(id); removed {
		return nil, Withdrawn
	}
	return nil, UnknownKey
}

// UnknownKeyAction is what an unknown key leads to.
type UnknownKeyAction int

// The actions.
const (
	Deny       UnknownKeyAction = iota // the folder was read for this key a moment ago
	Reload                             // read the folder now, and decide then
	Await                              // a read is under way: decide when it is done
	RetryLater                         // the next read may be begun after a while
)

func (a UnknownKeyAction) String() string {
	return [...]string{"deny", "reload", "await", "retry later"}[a]
}

// ResolveUnknown decides what an unknown key leads to; the duration is the delay with RetryLater. All that ask
// share one read of the folder: forged tokens with ever new ids must neither keep the disk busy, nor hold up a key
// that was just published.
func (r *Keyring) ResolveUnknown(now time.Duration, id KeyID) (UnknownKeyAction, time.Duration) {
	if readStarted, found := r.notFound.Get(id); found && now-readStarted < r.reloadInterval {
		return Deny, 0
	}
	if r.reloading {
		return Await, 0
	}
	if elapsed := now - r.reloadStartedAt; r.everReloaded && elapsed < r.reloadInterval {
		return RetryLater, r.reloadInterval - elapsed
	}
	r.reloading = true
	r.everReloaded = true
	r.reloadStartedAt = now
	return Reload, 0
}

// ReloadDone ends a read of the folder; if it brought a set, Replace goes before it. Those of the sought ids that are
// still unknown are denied until another read may be begun.
func (r *Keyring) ReloadDone(requestedIDs []KeyID) {
	r.reloading = false
	for _, id := range requestedIDs {
		if r.set.Find(id) == nil {
			r.notFound.Put(id, r.reloadStartedAt, maxRememberedIDs)
		}
	}
}
