package tokens

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// maxWait is the maximum time for which a request waits for the verdict on its token. It allows for a few reads of the
// key folder and is only a fraction of any latency objective.
const maxWait = 250 * time.Millisecond

// Verdict is the outcome of a request to check a token. If it has neither Entry nor Denial, the token was neither
// accepted nor denied, and the client must retry after RetryAfter.
type Verdict struct {
	Entry      *CachedToken
	Denial     authz.Denial
	RetryAfter time.Duration
}

// callback receives a verdict. It is called exactly once, on the event loop.
type callback func(Verdict)

// Action is an operation that a Verifier requests and that its owner performs off the event loop.
type Action int

// The actions.
const (
	noAction   Action = iota
	CheckToken        // verify the step's token, and pass the result to HandleResult
	ReloadKeys        // read the key folder, and pass the set to HandleKeys
)

func (a Action) String() string {
	return [...]string{"no action", "check token", "reload keys"}[a]
}

// Step is an action and its argument. The zero value requests nothing.
type Step struct {
	Action Action
	Token  string // the token to verify, for CheckToken
}

// CheckResult is the result of the check of a token.
type CheckResult struct {
	Raw      string
	Suspect  bool // as passed to RequestCheck
	Claims   Claims
	Denial   authz.Denial
	Duration time.Duration   // the time that the check took on one CPU core
	KeySet   *keyring.KeySet // the set that the token was verified with
}

// pendingCheck is a token whose check is requested or in progress, with the callbacks that wait for its verdict.
type pendingCheck struct {
	raw          string
	digest       tokenDigest
	startedAt    time.Duration
	keysReloaded bool          // the key folder was read to find this token's key
	keyID        keyring.KeyID // the key that the read looks for
	callbacks    []callback
}

// pendingChecks are the tokens that have no verdict yet.
type pendingChecks struct {
	byDigest         map[tokenDigest]*pendingCheck
	waiting          int             // number of waiting callbacks, over all pending checks
	inFlight         int             // number of requested checks without a result
	awaitingKeys     []*pendingCheck // checks that wait for the current read of the key folder
	reloadSuperseded bool            // the keys were replaced after that read started
}

// RequestCheck requests a check of a token that Lookup did not find. It calls done exactly once: before it returns if
// the check cannot be queued, and otherwise when the verdict is available. suspect is true if the connection has sent
// forged tokens. Checks may use a fraction of a CPU core. Half of that fraction is reserved for connections that are
// not suspect, so that a flood of forged tokens does not block them. If no capacity is left, the verdict has a
// RetryAfter.
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

// startCheck counts a check as in flight and returns the step that performs it.
func (v *Verifier) startCheck(raw string) Step {
	v.checks.inFlight++
	return Step{Action: CheckToken, Token: raw}
}

// HandleResult processes the result of a check. The step that it returns may read the key folder, or check the token
// again if the key set has changed in the meantime.
func (v *Verifier) HandleResult(now time.Duration, wall time.Time, result CheckResult) Step {
	v.checks.inFlight--
	v.budget.spend(now, result.Duration, result.Suspect)
	digest := digestOf(result.Raw)
	pending := v.checks.byDigest[digest]
	if pending == nil { // no request waits for the verdict any more
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

// acceptClaims returns the verdict on a token that was verified with the current key set, and caches the token if it is
// valid.
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

// handleUnknownKey handles a token whose key is not in the current key set: it denies the token, asks the client to
// retry, or waits for a read of the key folder.
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

// HandleKeys processes the set that was read from the key folder. If the read failed, keys is nil, and the current
// set is kept. HandleKeys returns the tokens to check again and reports whether the set was replaced.
func (v *Verifier) HandleKeys(keys *keyring.KeySet) (recheck []string, replaced bool) {
	if v.checks.reloadSuperseded { // a read that started before the keys were replaced would restore older keys
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

// ExpireWaiting ends the checks that were requested at least maxWait ago, or all pending checks if all is true, with a
// verdict that has a RetryAfter. This limits the delay of a response by a slow disk or a queue of checks.
func (v *Verifier) ExpireWaiting(now time.Duration, all bool) {
	for _, pending := range v.checks.byDigest {
		if all || now-pending.startedAt >= maxWait {
			v.resolve(pending, Verdict{RetryAfter: maxWait})
		}
	}
}

// resolve passes a verdict to all callbacks of a pending check and removes the check.
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
