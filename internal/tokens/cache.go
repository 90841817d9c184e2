package tokens

import (
	"crypto/sha256"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// denialTTL is how long a bad token is known as such without another check. A client that repeats it does so within
// seconds.
const denialTTL = 10 * time.Second

// tokenDigest identifies a token in the caches.
type tokenDigest [sha256.Size]byte

func digestOf(raw string) tokenDigest { return sha256.Sum256([]byte(raw)) }

// CachedToken is a good token that is remembered.
type CachedToken struct {
	Claims
	digest     tokenDigest
	generation uint64        // of the verifier's configuration that it was validated against
	key        *keyring.Key  // as it was in force then
	expiresAt  time.Duration // by the event loop's time, whatever the wall clock does
	referenced bool          // since the eviction hand last passed
}

// cache holds good tokens. Eviction is by a clock: the first entry goes that was not used since the hand last passed.
type cache struct {
	entries map[tokenDigest]*CachedToken
	ring    []*CachedToken // all entries, and removed ones that the hand has not come to
	hand    int            // index into ring
}

func (c *cache) clear() {
	clear(c.entries)
	c.ring = nil
}

func (c *cache) contains(entry *CachedToken) bool { return c.entries[entry.digest] == entry }

// add keeps an entry, and evicts others while there are limit of them.
func (c *cache) add(entry *CachedToken, limit int) {
	delete(c.entries, entry.digest)
	for len(c.ring) >= max(1, limit) {
		c.hand %= len(c.ring)
		if candidate := c.ring[c.hand]; candidate.referenced && c.contains(candidate) {
			candidate.referenced = false
			c.hand++
			continue
		}
		c.evictAtHand()
	}
	c.entries[entry.digest] = entry
	c.ring = append(c.ring, entry)
}

func (c *cache) evictAtHand() {
	c.remove(c.ring[c.hand])
	last := len(c.ring) - 1
	c.ring[c.hand] = c.ring[last]
	c.ring[last] = nil
	c.ring = c.ring[:last]
}

// remove has an entry not found any more; its place in the ring is left to the hand.
func (c *cache) remove(entry *CachedToken) {
	if c.contains(entry) {
		delete(c.entries, entry.digest)
	}
}

// cachedDenial is why a token proves nothing.
type cachedDenial struct {
	denial     authz.Denial
	generation uint64 // of the verifier's configuration that says so
	expiresAt  time.Duration
}

// isPermanent tells whether a denial stays true of a token whatever the time. One that was denied a moment too early must
// not stay denied when its time has come.
func isPermanent(denial authz.Denial) bool {
	switch denial {
	case Malformed, WrongAlgorithm, CriticalHeader, BadSignature, WrongIssuer, WrongAudience, NoSubject, noTokenID:
		return true
	}
	return false
}

// Lookup gives a token's entry, or why it proves nothing, if that is known. Otherwise RequestCheck has it checked.
func (v *Verifier) Lookup(
	now time.Duration, wall time.Time, raw string,
) (entry *CachedToken, denial authz.Denial, found bool) {
	if len(raw) > v.policy.MaxBytes {
		return nil, TooLong, true
	}
	digest := digestOf(raw)
	if entry := v.cache.entries[digest]; entry != nil {
		if denial, current := v.validate(now, wall, entry); current {
			return entry, denial, true
		}
		v.cache.remove(entry)
		return nil, "", false
	}
	cached, denied := v.denials.Get(digest)
	if denied && cached.generation == v.generation && now < cached.expiresAt {
		return nil, cached.denial, true
	}
	return nil, "", false
}

// Revalidate tells why a cached token no longer counts, if it does not. Where current is false it has to be looked up
// again. It is called for each request, and costs a few comparisons while nothing has changed.
func (v *Verifier) Revalidate(
	now time.Duration, wall time.Time, entry *CachedToken,
) (denial authz.Denial, current bool) {
	if !v.cache.contains(entry) {
		return "", false
	}
	return v.validate(now, wall, entry)
}

func (v *Verifier) validate(now time.Duration, wall time.Time, entry *CachedToken) (authz.Denial, bool) {
	entry.referenced = true
	if entry.generation != v.generation {
		key := v.keyring.Set().Find(entry.KeyID)
		if key == nil {
			_, denial := v.keyring.Find(entry.KeyID, wall)
			return denial, denial != keyring.UnknownKey
		}
		if !key.SamePublicKey(entry.key) { // another key under the same id proves nothing about this token
			return "", false
		}
		if denial := key.CheckTime(wall); denial != "" {
			return denial, true
		}
		if v.revocations.Contains(&entry.Claims) {
			return Revoked, true
		}
		entry.key = key
		entry.generation = v.generation
	}
	if denial := entry.key.CheckTime(wall); denial != "" {
		return denial, true
	}
	// The event loop's time guards against a wall clock that steps back and would let an expired token live on.
	if now >= entry.expiresAt {
		return expired, true
	}
	return entry.CheckTime(wall, v.policy), true
}
