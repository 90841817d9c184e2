package keyring

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/boundedmap"
)

// maxRememberedIDs limits the remembered IDs of removed keys, and separately of keys that were not found. Forged IDs
// evict each other. An evicted ID costs at most another read of the folder.
const maxRememberedIDs = 1024

// Keyring holds the current key set and decides when the folder is read again. It belongs to the event loop.
type Keyring struct {
	set      *KeySet                              // nil: no keys
	removed  boundedmap.Map[KeyID, struct{}]      // keys of earlier sets that are in no file any more
	notFound boundedmap.Map[KeyID, time.Duration] // IDs that a read did not find, with the start time of the read

	reloadInterval  time.Duration // minimum time between two reads for unknown keys
	reloadStartedAt time.Duration // start of the last read for unknown keys
	reloading       bool
	everReloaded    bool
}

// NewKeyring returns a keyring with an initial set. reloadInterval is the minimum time between two reads of the folder
// for unknown keys.
func NewKeyring(set *KeySet, reloadInterval time.Duration) *Keyring {
	return &Keyring{set: set, reloadInterval: reloadInterval}
}

// Reloading reports whether a read of the folder for an unknown key is in progress.
func (r *Keyring) Reloading() bool { return r.reloading }

// Set returns the current key set.
func (r *Keyring) Set() *KeySet { return r.set }

// Replace replaces the current set and reports whether the new set differs from it. Keys that are not in the new set
// are treated as withdrawn.
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

// Find returns the key with an ID if it is valid at the given time. Otherwise it returns nil and the denial.
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

// UnknownKeyAction is the action to take for a token whose key is unknown.
type UnknownKeyAction int

// The actions.
const (
	Deny       UnknownKeyAction = iota // deny the token: a recent read of the folder did not find the key
	Reload                             // read the folder now, then check the token again
	Await                              // check the token again when the read in progress ends
	RetryLater                         // have the client retry when the next read may start
)

func (a UnknownKeyAction) String() string {
	return [...]string{"deny", "reload", "await", "retry later"}[a]
}

// ResolveUnknown returns the action for an unknown key. For RetryLater, it also returns the time until the next read
// may start. After Reload, the caller must call ReloadDone when the read ends. All unknown keys share one read of the
// folder: forged tokens, each with a new ID, must neither keep the disk busy nor delay the use of a newly published
// key.
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

// ReloadDone records the end of a read of the folder. If the read succeeded, the caller must call Replace first. Those
// of the requested IDs that are still unknown are denied until the next read may start.
func (r *Keyring) ReloadDone(requestedIDs []KeyID) {
	r.reloading = false
	for _, id := range requestedIDs {
		if r.set.Find(id) == nil {
			r.notFound.Put(id, r.reloadStartedAt, maxRememberedIDs)
		}
	}
}
