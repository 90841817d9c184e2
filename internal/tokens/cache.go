package tokens

import (
	"crypto"
	"crypto/sha256"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// tokenDigest is by what a token is known again.
type tokenDigest [sha256.Size]byte

// CachedToken is a good token that is remembered.
type CachedToken struct {
	Claims
	digest     tokenDigest
	generation uint64        // of keys and revocations for which it was looked at last
	key        *keyring.Key  // as it was in force then
	expiresAt  time.Duration // by the program's own clock, whatever the wall clock does
	referenced bool          // since the hand last passed
}

// cachedDenial is a token that proved nothing.
type cachedDenial struct {
	denial     authz.Denial
	generation uint64
	expiresAt  time.Duration
}

// Lookup gives a token's entry if it is remembered, or why it proves nothing if that is known. Otherwise known is false and the
// caller is to Ask.
func (o *Verifier) Lookup(now time.Duration, wall time.Time, raw string) (entry *CachedToken, denial authz.Denial, known bool) {
	if len(raw) > o.policy.MaxBytes {
		return nil, TooLong, true
	}
	digest := tokenDigest(sha256.Sum256([]byte(raw)))
	if entry := o.cached[digest]; entry != nil {
		if denial, current := o.validate(now, wall, entry); current {
			return entry, denial, true
		}
		o.evict(entry)
		return nil, "", false
	}
	if earlier, denied := o.denied[digest]; denied && earlier.generation == o.generation && now < earlier.expiresAt {
		return nil, earlier.denial, true
	}
	return nil, "", false
}

// Revalidate tells whether a remembered entry counts now; not sure means that it has to be checked again.
// It is looked at with every op, and costs some comparisons while nothing has changed.
func (o *Verifier) Revalidate(now time.Duration, wall time.Time, entry *CachedToken) (denial authz.Denial, current bool) {
	if o.cached[entry.digest] != entry {
		return "", false
	}
	return o.validate(now, wall, entry)
}

func (o *Verifier) validate(now time.Duration, wall time.Time, entry *CachedToken) (authz.Denial, bool) {
	entry.referenced = true
	if entry.generation != o.generation {
		key := o.Keyring.Set().Find(entry.KeyID)
		if key == nil {
			_, denial := o.Keyring.Find(entry.KeyID, wall)
			return denial, denial != keyring.UnknownKey
		}
		if !sameKey(key, entry.key) { // another key under the old id proves nothing of this token
			return "", false
		}
		if denial := key.CheckTime(wall); denial != "" {
			return denial, true
		}
		if o.revocations.Contains(&entry.Claims) {
			return Revoked, true
		}
		entry.key, entry.generation = key, o.generation
	}
	if denial := entry.key.CheckTime(wall); denial != "" {
		return denial, true
	}
	// Danger: a wall clock that steps back would let an expired token live on.
	if now >= entry.expiresAt {
		return expired, true
	}
	return entry.CheckTime(wall, o.policy), true
}

func sameKey(a, b *keyring.Key) bool {
	key, comparable := a.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return comparable && a.Algorithm == b.Algorithm && key.Equal(b.PublicKey)
}

// cache keeps an entry; the first that was not used since the hand passed makes room.
func (o *Verifier) cache(entry *CachedToken) {
	if old := o.cached[entry.digest]; old != nil {
		o.evict(old)
	}
	for len(o.evictionOrder) >= max(1, o.limits.MaxCached) {
		o.evictionHand %= len(o.evictionOrder)
		if old := o.evictionOrder[o.evictionHand]; old.referenced && o.cached[old.digest] == old {
			old.referenced = false
			o.evictionHand++
			continue
		}
		o.evictAt(o.evictionHand)
	}
	o.cached[entry.digest] = entry
	o.evictionOrder = append(o.evictionOrder, entry)
}

func (o *Verifier) evictAt(index int) {
	if old := o.evictionOrder[index]; o.cached[old.digest] == old {
		delete(o.cached, old.digest)
	}
	last := len(o.evictionOrder) - 1
	o.evictionOrder[index], o.evictionOrder[last] = o.evictionOrder[last], nil
	o.evictionOrder = o.evictionOrder[:last]
}

// evict leaves an entry to the hand; it is not found any more.
func (o *Verifier) evict(entry *CachedToken) {
	if o.cached[entry.digest] == entry {
		delete(o.cached, entry.digest)
	}
}

// denialTTL is how long a bad token is known as such without another check: a client that brings it again and again does so
// within seconds.
const denialTTL = 10 * time.Second

// permanentDenials are the reasons that stay true of a token whatever the time. Danger: one that was refused a moment too early
// would stay refused when its time has come.
var permanentDenials = map[authz.Denial]bool{Malformed: true, WrongAlgorithm: true, CriticalHeader: true, BadSignature: true, WrongIssuer: true,
	WrongAudience: true, NoSubject: true, noTokenID: true}

func (o *Verifier) cacheDenial(now time.Duration, digest tokenDigest, denial authz.Denial) {
	if _, known := o.denied[digest]; !known {
		o.deniedOrder = append(o.deniedOrder, digest)
		if len(o.deniedOrder) > max(1, o.limits.MaxCached) {
			delete(o.denied, o.deniedOrder[0])
			o.deniedOrder = o.deniedOrder[1:]
		}
	}
	o.denied[digest] = cachedDenial{denial, o.generation, now + denialTTL}
}
