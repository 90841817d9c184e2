package tokens

import (
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/boundedmap"
	"lanewheel/internal/keyring"
)

// Limits are what a Verifier may use. All come from the operator's file.
type Limits struct {
	MaxCached         int           // good tokens, and as many bad ones
	MaxWaiting        int           // requests that wait for a verdict at a time
	CPUFraction       float64       // of a core that checks may take
	MaxSingleUseIDs   int           // ids of single-use tokens that are remembered
	KeyReloadInterval time.Duration // between two reads of the key folder for unknown keys
}

// Verifier knows the verdicts on tokens and decides which are checked when. It belongs to the event loop, which asks it
// for each request and carries out the Steps that it returns off the loop.
type Verifier struct {
	keyring     *keyring.Keyring
	policy      *Policy
	revocations *Revocations
	limits      Limits
	generation  uint64 // counts changes of keys, policy and revocations

	cache     cache
	denials   boundedmap.Map[tokenDigest, cachedDenial]
	budget    cpuBudget
	singleUse singleUseIDs
	checks    pendingChecks
}

// NewVerifier makes a verifier by keys, a policy and revocations that were checked before.
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

// Reload puts another configuration in force. What is cached is validated again when it is next used.
func (v *Verifier) Reload(keys *keyring.KeySet, policy *Policy, revocations *Revocations, limits Limits) {
	v.checks.reloadSuperseded = v.keyring.Reloading()
	v.keyring.Replace(keys)
	if *policy != *v.policy { // what was checked by another policy is checked again
		v.cache.clear()
	}
	v.policy = policy
	v.revocations = revocations
	v.limits = limits
	v.budget.fraction = limits.CPUFraction
	v.singleUse.limit = limits.MaxSingleUseIDs
	v.generation++
}

// Policy is the one in force.
func (v *Verifier) Policy() *Policy { return v.policy }

// KeySet is the one in force.
func (v *Verifier) KeySet() *keyring.KeySet { return v.keyring.Set() }

// UseOnce uses up a single-use token. It gives the denial if it was used before, and the time after which to retry
// if no more ids can be remembered; neither for tokens that may be used again.
func (v *Verifier) UseOnce(wall time.Time, entry *CachedToken) (denial authz.Denial, retryAfter time.Duration) {
	if !v.policy.SingleUse {
		return "", 0
	}
	return v.singleUse.use(wall, entry.ID, entry.Expiry.Add(v.policy.Leeway))
}

// CacheSizes is how many good tokens and how many denials are cached.
func (v *Verifier) CacheSizes() (cached, denied int) {
	return len(v.cache.entries), v.denials.Len()
}
