package tokens

import (
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
