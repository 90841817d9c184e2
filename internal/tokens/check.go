package tokens

import (
	"crypto/sha256"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

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
