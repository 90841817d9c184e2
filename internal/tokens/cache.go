package tokens

import (
	"crypto/sha256"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// denialTTL is the time for which a denial is cached. A client that repeats a denied token does so within seconds.
const denialTTL = 10 * time.Second

// tokenDigest identifies a token in the caches.
type tokenDigest [sha256.Size]byte

func digestOf(raw string) tokenDigest { return sha256.Sum256([]byte(raw)) }

// CachedToken is a verified token in the cache.
type CachedToken struct {
	Claims
	digest     tokenDigest
	generation uint64        // the verifier's generation when the token was last validated
	key        *keyring.Key  // the token's key in that generation
	expiresAt  time.Duration // in event loop time, which does not depend on the wall clock
	referenced bool          // used since the clock hand last passed
}

// cache holds verified tokens. It uses the clock algorithm: the hand evicts the first entry that was not used since it
// last passed.
type cache struct {
	entries map[tokenDigest]*CachedToken
	ring    []*CachedToken // all entries, and removed entries that the hand has not reached yet
	hand    int            // index into ring
}

func (c *cache) clear() {
	clear(c.entries)
	c.ring = nil
}

func (c *cache) contains(entry *CachedToken) bool { return c.entries[entry.digest] == entry }

// add adds an entry, and first evicts others until fewer than limit are left. A limit below 1 counts as 1.
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

// evictAtHand removes the entry at the hand from the cache and from the ring.
func (c *cache) evictAtHand() {
	c.remove(c.ring[c.hand])
	last := len(c.ring) - 1
	c.ring[c.hand] = c.ring[last]
	c.ring[last] = nil
	c.ring = c.ring[:last]
}

// remove removes an entry from the map. Its slot in the ring is freed when the hand reaches it.
func (c *cache) remove(entry *CachedToken) {
	if c.contains(entry) {
		delete(c.entries, entry.digest)
	}
}

// cachedDenial is the denial of a token.
type cachedDenial struct {
	denial     authz.Denial
	generation uint64 // the verifier's generation when the token was denied
	expiresAt  time.Duration
}

// isPermanent reports whether a denial of a token still applies at any later time. Other denials must not be cached: a
// token that is denied shortly before it becomes valid must not stay denied after that.
func isPermanent(denial authz.Denial) bool {
	switch denial {
	case Malformed, WrongAlgorithm, CriticalHeader, BadSignature, WrongIssuer, WrongAudience, NoSubject, noTokenID:
		return true
	}
	return false
}

// Lookup returns the cached entry of a token or its denial, or both for a cached token that is no longer valid. If
// found is false, the token must be checked with RequestCheck.
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

// Revalidate returns the denial of a cached token that is no longer valid, and "" for a valid one. If current is false,
// the entry is outdated, and the token must be looked up again. Revalidate is called for each request and costs a few
// comparisons while the configuration is unchanged.
func (v *Verifier) Revalidate(
	now time.Duration, wall time.Time, entry *CachedToken,
) (denial authz.Denial, current bool) {
	if !v.cache.contains(entry) {
		return "", false
	}
	return v.validate(now, wall, entry)
}

// validate checks a cached token against the current configuration and time, and marks it as referenced. Its results
// are those of Revalidate.
func (v *Verifier) validate(now time.Duration, wall time.Time, entry *CachedToken) (authz.Denial, bool) {
	entry.referenced = true
	if entry.generation != v.generation {
		key := v.keyring.Set().Find(entry.KeyID)
		if key == nil {
			_, denial := v.keyring.Find(entry.KeyID, wall)
			return denial, denial != keyring.UnknownKey
		}
		if !key.SamePublicKey(entry.key) { // another key with the same ID does not verify this token
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
	// The event loop's time does not step back. The check by the wall clock alone would accept an expired token again if
	// that clock stepped back.
	if now >= entry.expiresAt {
		return expired, true
	}
	return entry.CheckTime(wall, v.policy), true
}
