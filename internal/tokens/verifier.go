package tokens

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/boundedmap"
	"lanewheel/internal/keyring"
)

// Limits are the resource limits of a Verifier. The values come from the operator's file.
type Limits struct {
	MaxCached         int           // maximum number of cached tokens, and separately of cached denials
	MaxWaiting        int           // maximum number of requests that wait for a verdict, and of checks in flight
	CPUFraction       float64       // fraction of a CPU core that checks may use
	MaxSingleUseIDs   int           // maximum number of remembered IDs of single-use tokens
	KeyReloadInterval time.Duration // minimum time between two reads of the key folder for unknown keys
}

// Verifier caches the verdicts on tokens and schedules the checks of tokens that have no cached verdict. It belongs to
// the event loop. Its owner calls it for each request and performs the returned Steps off the event loop.
type Verifier struct {
	keyring     *keyring.Keyring
	policy      *Policy
	revocations *Revocations
	limits      Limits
	generation  uint64 // incremented by each Reload, and when HandleKeys replaces the key set

	cache     cache
	denials   boundedmap.Map[tokenDigest, cachedDenial]
	budget    cpuBudget
	singleUse singleUseIDs
	checks    pendingChecks
}

// NewVerifier returns a verifier with the given configuration, which must be valid. revocations may be nil.
func NewVerifier(keys *keyring.KeySet, policy *Policy, revocations *Revocations, limits Limits) *Verifier {
	return &Verifier{
		keyring:     keyring.NewKeyring(keys, limits.KeyReloadInterval),
		policy:      policy,
		revocations: revocations,
		limits:      limits,
		generation:  1,
		cache:       cache{entries: map[tokenDigest]*CachedToken{}},
		budget:      newCPUBudget(limits.CPUFraction),
		singleUse:   newSingleUseIDs(limits.MaxSingleUseIDs),
		checks:      pendingChecks{byDigest: map[tokenDigest]*pendingCheck{}},
	}
}

// Reload replaces the configuration. Cached tokens are validated again when they are next used. If the policy changes,
// they are discarded instead.
func (v *Verifier) Reload(keys *keyring.KeySet, policy *Policy, revocations *Revocations, limits Limits) {
	v.checks.reloadSuperseded = v.keyring.Reloading()
	v.keyring.Replace(keys)
	if *policy != *v.policy { // tokens verified under the old policy must be verified again
		v.cache.clear()
	}
	v.policy = policy
	v.revocations = revocations
	v.limits = limits
	v.budget.fraction = limits.CPUFraction
	v.singleUse.limit = limits.MaxSingleUseIDs
	v.generation++
}

// Policy returns the current policy.
func (v *Verifier) Policy() *Policy { return v.policy }

// KeySet returns the current key set.
func (v *Verifier) KeySet() *keyring.KeySet { return v.keyring.Set() }

// UseOnce records the use of a single-use token. It returns the denial if the token was used before or has expired,
// and the delay after which to retry if the maximum number of IDs is already remembered. If the policy is not single
// use, it returns neither.
func (v *Verifier) UseOnce(wall time.Time, entry *CachedToken) (denial authz.Denial, retryAfter time.Duration) {
	if !v.policy.SingleUse {
		return "", 0
	}
	return v.singleUse.use(wall, entry.ID, entry.Expiry.Add(v.policy.Leeway))
}

// CacheSizes returns the number of cached tokens and the number of cached denials.
func (v *Verifier) CacheSizes() (cached, denied int) {
	return len(v.cache.entries), v.denials.Len()
}
