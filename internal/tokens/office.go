package tokens

import (
	"crypto"
	"crypto/sha256"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// Limits are what an Office may use. All come from the operator's file.
type Limits struct {
	MaxCached         int           // good tokens, and as many bad ones
	MaxWaiting        int           // ops that wait for a verdict at a time
	CPUFraction       float64       // of a core that checking may take
	MaxSingleUseIDs   int           // ids of single use that are remembered
	KeyReloadInterval time.Duration // between two looks at the folder for unknown keys
}

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

// Verifier is all that is known of tokens. It belongs to the owner loop, which asks it for each op; what it wants done it
// tells, and the check itself is made beside the loop.
type Verifier struct {
	Keyring     *keyring.Keyring
	policy      *Policy
	revocations *Revocations
	limits      Limits

	generation    uint64 // counts changes of keys, policy and revocations
	cached        map[tokenDigest]*CachedToken
	evictionOrder []*CachedToken // of good, in the order of the hand
	evictionHand  int
	denied        map[tokenDigest]cachedDenial
	deniedOrder   []tokenDigest
	budget        cpuBudget
	singleUse     singleUseIDs

	pending        map[tokenDigest]*pendingCheck
	waiting        int
	checksInFlight int             // asked for and not back
	awaitingKeys   []*pendingCheck // for the look that is under way
	// overtaken tells that the keys were replaced since that look was begun.
	reloadOvertaken bool
}

// pendingCheck is a token whose check is asked for or under way, with all that wait for it.
type pendingCheck struct {
	raw          string
	digest       tokenDigest
	startedAt    time.Duration
	keysReloaded bool // a look at the folder was made for it
	keyID        keyring.KeyID
	callbacks    []callback
}

// maxWait is for how long an op waits for the verdict on its token: some looks at a folder, and a part of any target latency.
const maxWait = 250 * time.Millisecond

// callback is handed the verdict: an entry, or a reason, or, with neither, the time after which to come again.
type callback func(e *CachedToken, why authz.Denial, after time.Duration)

// Action is what an Office wants done beside the loop.
type Action int

const (
	noAction   Action = iota
	CheckToken        // the token: hand the result to Checked
	ReloadKeys        // at the folder: hand the set to Looked
)

// NewVerifier opens with keys, a policy and revocations that were checked before.
func NewVerifier(keys *keyring.KeySet, policy *Policy, revocations *Revocations, limits Limits) *Verifier {
	return &Verifier{Keyring: keyring.NewKeyring(keys, limits.KeyReloadInterval), policy: policy, revocations: revocations, limits: limits, generation: 1,
		cached: map[tokenDigest]*CachedToken{}, denied: map[tokenDigest]cachedDenial{}, pending: map[tokenDigest]*pendingCheck{},
		budget: newCPUBudget(limits.CPUFraction), singleUse: newSingleUseIDs(limits.MaxSingleUseIDs)}
}

// Reload puts what was read anew in force. What is remembered is looked at again when it is next used.
func (o *Verifier) Reload(keys *keyring.KeySet, policy *Policy, revocations *Revocations, limits Limits) {
	o.reloadOvertaken = o.Keyring.Reloading()
	o.Keyring.Replace(keys)
	if *policy != *o.policy { // what was checked by another policy is checked again
		clear(o.cached)
		o.evictionOrder = nil
	}
	o.policy, o.revocations, o.limits = policy, revocations, limits
	o.budget.fraction = limits.CPUFraction
	o.singleUse.limit = limits.MaxSingleUseIDs
	o.generation++
}

// Policy is the one in force.
func (o *Verifier) Policy() *Policy { return o.policy }

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

// RequestCheck has a token checked that is not known. done is called once, now or when the verdict is there. suspect tells that the
// connection has brought tokens that prove nothing. The act, if any, is for the caller to see to.
// Danger: forged tokens that take all the time there is. Checks have a share of a core, half of it for those who have
// brought nothing bad yet, and what finds no time or room is told when to come again.
func (o *Verifier) RequestCheck(now time.Duration, raw string, suspect bool, done callback) (Action, string) {
	digest := tokenDigest(sha256.Sum256([]byte(raw)))
	if pending := o.pending[digest]; pending != nil {
		if o.waiting >= o.limits.MaxWaiting {
			done(nil, "", o.budget.minRetryAfter(now, suspect))
			return noAction, ""
		}
		pending.callbacks = append(pending.callbacks, done)
		o.waiting++
		return noAction, ""
	}
	if retryAfter := o.budget.waitTime(now, suspect); retryAfter > 0 || o.waiting >= o.limits.MaxWaiting || o.checksInFlight >= o.limits.MaxWaiting {
		done(nil, "", max(retryAfter, o.budget.minRetryAfter(now, suspect)))
		return noAction, ""
	}
	o.pending[digest] = &pendingCheck{raw: raw, digest: digest, startedAt: now, callbacks: []callback{done}}
	o.waiting++
	o.checksInFlight++
	return CheckToken, raw
}

// CheckResult is what a check came to.
type CheckResult struct {
	Raw      string
	Suspect  bool // as it was asked for
	Claims   Claims
	Denial   authz.Denial
	Duration time.Duration
	KeySet   *keyring.KeySet // by which it was checked
}

// HandleResult takes a check's result. It may lead to a look at the folder, or to another check if the keys have changed since.
func (o *Verifier) HandleResult(now time.Duration, wall time.Time, result CheckResult) (Action, string) {
	digest := tokenDigest(sha256.Sum256([]byte(result.Raw)))
	o.checksInFlight--
	o.budget.spend(now, result.Duration, result.Suspect)
	pending := o.pending[digest]
	if pending == nil { // nobody waits any more
		pending = &pendingCheck{raw: result.Raw, digest: digest, keysReloaded: true}
	}
	if result.KeySet != o.Keyring.Set() {
		if len(pending.callbacks) == 0 {
			return noAction, ""
		}
		o.checksInFlight++
		return CheckToken, pending.raw
	}
	if result.Denial == keyring.UnknownKey {
		if _, denial := o.Keyring.Find(result.Claims.KeyID, wall); denial == keyring.Withdrawn || pending.keysReloaded {
			result.Denial = denial
			o.resolve(pending, nil, result.Denial, 0)
			return noAction, ""
		}
		step, retryAfter := o.Keyring.ResolveUnknown(now, result.Claims.KeyID)
		switch step {
		case keyring.Deny:
			o.resolve(pending, nil, result.Denial, 0)
		case keyring.RetryLater:
			o.resolve(pending, nil, "", retryAfter)
		case keyring.Await:
			o.awaitingKeys = append(o.awaitingKeys, pending)
		case keyring.Reload:
			pending.keysReloaded, pending.keyID = true, result.Claims.KeyID
			o.awaitingKeys = append(o.awaitingKeys, pending)
			return ReloadKeys, ""
		}
		return noAction, ""
	}
	if result.Denial != "" {
		if permanentDenials[result.Denial] {
			o.cacheDenial(now, digest, result.Denial)
		}
		o.resolve(pending, nil, result.Denial, 0)
		return noAction, ""
	}
	entry := &CachedToken{Claims: result.Claims, digest: digest, generation: o.generation, key: o.Keyring.Set().Find(result.Claims.KeyID)}
	entry.expiresAt = now + max(0, result.Claims.Expiry.Add(o.policy.Leeway).Sub(wall))
	denial := entry.key.CheckTime(wall)
	if denial == "" {
		denial = entry.CheckTime(wall, o.policy)
	}
	if denial == "" && o.revocations.Contains(&entry.Claims) {
		denial = Revoked
	}
	if denial != "" {
		o.resolve(pending, nil, denial, 0)
		return noAction, ""
	}
	o.cache(entry)
	o.resolve(pending, entry, "", 0)
	return noAction, ""
}

// HandleKeys hears that the look at the folder is over. set is nil if it could not be read; the old one stays then. It gives
// the tokens that are to be checked again.
func (o *Verifier) HandleKeys(keys *keyring.KeySet) (recheck []string) {
	if o.reloadOvertaken { // Danger: a look begun before the keys were replaced would bring older ones back
		keys, o.reloadOvertaken = nil, false
	}
	if keys != nil && o.Keyring.Replace(keys) {
		o.generation++
	}
	waiting := o.awaitingKeys
	o.awaitingKeys = nil
	var keyIDs []keyring.KeyID
	for _, pending := range waiting {
		if pending.keysReloaded {
			keyIDs = append(keyIDs, pending.keyID)
		}
		if o.pending[pending.digest] == pending {
			recheck = append(recheck, pending.raw)
			o.checksInFlight++
		}
	}
	o.Keyring.ReloadDone(keyIDs)
	return recheck
}

// ExpireWaiting gives up what has waited too long, or, with all, everything that waits: told to come again. No answer's due time
// hangs on a disk or on a queue of checks.
func (o *Verifier) ExpireWaiting(now time.Duration, all bool) {
	for _, pending := range o.pending {
		if all || now-pending.startedAt >= maxWait {
			o.resolve(pending, nil, "", maxWait)
		}
	}
}

// resolve hands a verdict to all that wait for it.
func (o *Verifier) resolve(pending *pendingCheck, entry *CachedToken, denial authz.Denial, retryAfter time.Duration) {
	if o.pending[pending.digest] == pending {
		delete(o.pending, pending.digest)
		o.waiting -= len(pending.callbacks)
	}
	callbacks := pending.callbacks
	pending.callbacks = nil
	for _, done := range callbacks {
		done(entry, denial, retryAfter)
	}
}

// UseOnce uses a token up that counts once, and tells whether it was used before, or that no more can be remembered.
func (o *Verifier) UseOnce(wall time.Time, entry *CachedToken) (authz.Denial, time.Duration) {
	if !o.policy.SingleUse {
		return "", 0
	}
	return o.singleUse.use(wall, entry.ID, entry.Expiry.Add(o.policy.Leeway))
}

// waitingCount is how many ops wait for a verdict.
func (o *Verifier) waitingCount() int { return o.waiting }

// CacheSizes is how many good and bad tokens are remembered.
func (o *Verifier) CacheSizes() (cached, denied int) { return len(o.cached), len(o.denied) }

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
