package tokens

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// maxWait is how long a request waits for the verdict on its token: a few reads of a folder, and a part of any latency
// objective.
const maxWait = 250 * time.Millisecond

// Verdict is what is known of a token. With neither Entry nor Denial it is not known, and to be asked for again.
type Verdict struct {
	Entry      *CachedToken
	Denial     authz.Denial
	RetryAfter time.Duration
}

// callback is handed a verdict, once.
type callback func(Verdict)

// Action is what a Verifier wants done off the event loop.
type Action int

// The actions.
const (
	noAction   Action = iota
	CheckToken        // verify the step's token, and hand the result to HandleResult
	ReloadKeys        // read the key folder, and hand the set to HandleKeys
)

func (a Action) String() string {
	return [...]string{"no action", "check token", "reload keys"}[a]
}

// Step is what a Verifier wants done. The zero value is nothing.
type Step struct {
	Action Action
	Token  string // to be verified, with CheckToken
}

// CheckResult is what a check came to.
type CheckResult struct {
	Raw      string
	Suspect  bool // as given to RequestCheck
	Claims   Claims
	Denial   authz.Denial
	Duration time.Duration   // of a core
	KeySet   *keyring.KeySet // that the token was verified by
}

// pendingCheck is a token whose check is asked for or under way, with all that wait for it.
type pendingCheck struct {
	raw          string
	digest       tokenDigest
	startedAt    time.Duration
	keysReloaded bool // the key folder was read for it
	keyID        keyring.KeyID
	callbacks    []callback
}

// pendingChecks are the tokens without a verdict.
type pendingChecks struct {
	byDigest         map[tokenDigest]*pendingCheck
	waiting          int             // callbacks of all of them
	inFlight         int             // checks that are asked for and not back
	awaitingKeys     []*pendingCheck // for the read of the key folder that is under way
	reloadSuperseded bool            // the keys were replaced since that read was begun
}

// RequestCheck has a token checked that Lookup does not know. done is called once, at once or when the verdict is
// there. suspect says that the connection has brought forged tokens. Checks take at most a fraction of a core, half
// of it for connections that are not suspect, so that a flood of forged tokens does not keep others out; what finds
// no capacity left is told when to retry.
func (v *Verifier) RequestCheck(now time.Duration, raw string, suspect bool, done callback) Step {
	digest := digestOf(raw)
	full := v.checks.waiting >= v.limits.MaxWaiting
	if pending := v.checks.byDigest[digest]; pending != nil {
		if full {
			done(Verdict{RetryAfter: v.budget.minRetryAfter(now, suspect)})
			return Step{}
		}
		pending.callbacks = append(pending.callbacks, done)
		v.checks.waiting++
		return Step{}
	}
	retryAfter := v.budget.waitTime(now, suspect)
	if retryAfter > 0 || full || v.checks.inFlight >= v.limits.MaxWaiting {
		done(Verdict{RetryAfter: max(retryAfter, v.budget.minRetryAfter(now, suspect))})
		return Step{}
	}
	v.checks.byDigest[digest] = &pendingCheck{
		raw:       raw,
		digest:    digest,
		startedAt: now,
		callbacks: []callback{done},
	}
	v.checks.waiting++
	return v.startCheck(raw)
}

func (v *Verifier) startCheck(raw string) Step {
	v.checks.inFlight++
	return Step{Action: CheckToken, Token: raw}
}

// HandleResult takes the result of a check. It may lead to a read of the key folder, or to another check if the keys
// have changed since.
func (v *Verifier) HandleResult(now time.Duration, wall time.Time, result CheckResult) Step {
	v.checks.inFlight--
	v.budget.spend(now, result.Duration, result.Suspect)
	digest := digestOf(result.Raw)
	pending := v.checks.byDigest[digest]
	if pending == nil { // nobody waits any more
		pending = &pendingCheck{raw: result.Raw, digest: digest, keysReloaded: true}
	}
	if result.KeySet != v.keyring.Set() {
		if len(pending.callbacks) == 0 {
			return Step{}
		}
		return v.startCheck(pending.raw)
	}
	if result.Denial == keyring.UnknownKey {
		return v.handleUnknownKey(now, wall, pending, result.Claims.KeyID)
	}
	if result.Denial != "" {
		if isPermanent(result.Denial) {
			entry := cachedDenial{denial: result.Denial, generation: v.generation, expiresAt: now + denialTTL}
			v.denials.Put(digest, entry, v.limits.MaxCached)
		}
		v.resolve(pending, Verdict{Denial: result.Denial})
		return Step{}
	}
	v.resolve(pending, v.acceptClaims(now, wall, digest, result.Claims))
	return Step{}
}

// acceptClaims gives the verdict on a token that is verified by the key set in force, and caches it if it counts.
func (v *Verifier) acceptClaims(now time.Duration, wall time.Time, digest tokenDigest, claims Claims) Verdict {
	entry := &CachedToken{
		Claims:     claims,
		digest:     digest,
		generation: v.generation,
		key:        v.keyring.Set().Find(claims.KeyID),
		expiresAt:  now + max(0, claims.Expiry.Add(v.policy.Leeway).Sub(wall)),
	}
	if denial := entry.key.CheckTime(wall); denial != "" {
		return Verdict{Denial: denial}
	}
	if denial := entry.CheckTime(wall, v.policy); denial != "" {
		return Verdict{Denial: denial}
	}
	if v.revocations.Contains(&entry.Claims) {
		return Verdict{Denial: Revoked}
	}
	v.cache.add(entry, v.limits.MaxCached)
	return Verdict{Entry: entry}
}

// handleUnknownKey decides on a token whose key is not in the set in force.
func (v *Verifier) handleUnknownKey(now time.Duration, wall time.Time, pending *pendingCheck, id keyring.KeyID) Step {
	_, denial := v.keyring.Find(id, wall)
	if denial == keyring.Withdrawn || pending.keysReloaded {
		v.resolve(pending, Verdict{Denial: denial})
		return Step{}
	}
	switch action, retryAfter := v.keyring.ResolveUnknown(now, id); action {
	case keyring.Deny:
		v.resolve(pending, Verdict{Denial: keyring.UnknownKey})
	case keyring.RetryLater:
		v.resolve(pending, Verdict{RetryAfter: retryAfter})
	case keyring.Await:
		v.checks.awaitingKeys = append(v.checks.awaitingKeys, pending)
	case keyring.Reload:
		pending.keysReloaded = true
		pending.keyID = id
		v.checks.awaitingKeys = append(v.checks.awaitingKeys, pending)
		return Step{Action: ReloadKeys}
	}
	return Step{}
}

// HandleKeys takes the set that was read from the key folder; nil if it could not be read, and the one in force stays.
// It gives the tokens that are to be checked again, and whether another set is in force now.
func (v *Verifier) HandleKeys(keys *keyring.KeySet) (recheck []string, replaced bool) {
	if v.checks.reloadSuperseded { // a read that was begun before the keys were replaced would bring older ones back
		v.checks.reloadSuperseded = false
		keys = nil
	}
	if keys != nil && v.keyring.Replace(keys) {
		v.generation++
		replaced = true
	}
	awaiting := v.checks.awaitingKeys
	v.checks.awaitingKeys = nil
	var requestedIDs []keyring.KeyID
	for _, pending := range awaiting {
		if pending.keysReloaded {
			requestedIDs = append(requestedIDs, pending.keyID)
		}
		if v.checks.byDigest[pending.digest] == pending {
			recheck = append(recheck, pending.raw)
			v.checks.inFlight++
		}
	}
	v.keyring.ReloadDone(requestedIDs)
	return recheck, replaced
}

// ExpireWaiting tells requests to retry that have waited too long for a verdict, or all that wait. No response is held
// up by a disk or by a queue of checks.
func (v *Verifier) ExpireWaiting(now time.Duration, all bool) {
	for _, pending := range v.checks.byDigest {
		if all || now-pending.startedAt >= maxWait {
			v.resolve(pending, Verdict{RetryAfter: maxWait})
		}
	}
}

// resolve hands a verdict to all that wait for it.
func (v *Verifier) resolve(pending *pendingCheck, verdict Verdict) {
	if v.checks.byDigest[pending.digest] == pending {
		delete(v.checks.byDigest, pending.digest)
		v.checks.waiting -= len(pending.callbacks)
	}
	callbacks := pending.callbacks
	pending.callbacks = nil
	for _, done := range callbacks {
		done(verdict)
	}
}
