// Package authn is the door: it tells who an op's caller is and whether the op may come in. What it decides stands in
// rights, keyring, tokens and certs; here it is put together, and what takes time is done beside the owner loop.
package authn

import (
	"crypto/x509"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/logging"
	"lanewheel/internal/tokens"
)

// Config are what an operator's file says of callers, read and checked whole.
type Config struct {
	Policy         *authz.Policy
	MaxRateEntries int               // of rates and counts, at a time
	TrustStore     *certs.TrustStore // nil: no certificates
	KeySet         *keyring.KeySet   // nil: no tokens
	KeyDir         string            // where the keys are read again
	TokenPolicy    *tokens.Policy    // of tokens
	RevokedTokens  *tokens.Revocations
	TokenLimits    tokens.Limits
}

// Credential is what a connection has proved. It belongs to the owner loop.
type Credential struct {
	Proof              *certs.VerifiedChain // nil: no certificate
	ConfiguredIdentity authz.Identity       // who it is by the operator's word, empty if nobody says so
	proofGeneration    uint64               // the generation for which the proof was looked at last
	proofDenial        authz.Denial
	suspect            bool // it has brought tokens that prove nothing

	token               string // the last good one, and what it proves
	entry               *tokens.CachedToken
	principal           authz.Principal // by the token, else by the proof
	principalGeneration uint64          // the generation for which who is right, 0 if it is not known
	principalDenial     authz.Denial
}

// Request is an op that wants to come in.
type Request struct {
	authz.Request
	Token string
}

// Decision is what the door says. With neither Why nor After the op may come in, under Tenant.
type Decision struct {
	Tenant     admission.TenantID
	Permission authz.Permission
	Denial     authz.Denial  // denied
	RetryAfter time.Duration // not now
}

// Authenticator belongs to the owner loop, but for Prove.
type Authenticator struct {
	post        func(...func())
	clock       func() (now time.Duration, wall time.Time) // of the loop's batch
	config      Config
	generation  uint64
	trust       atomic.Pointer[certs.TrustStore] // for handshakes, which are made beside the loop
	limiter     *authz.RateLimiter
	verifier    *tokens.Verifier
	checks      chan tokenCheck
	denialLog   logging.Sampler[authz.Denial]
	denials     map[authz.Denial]uint64
	admitted    uint64
	deferred    uint64
	loggedTotal uint64 // admitted, denied and later together when last said
	loggedAt    time.Duration
	draining    bool
}

type tokenCheck struct {
	raw     string
	suspect bool
	keys    *keyring.KeySet
	policy  *tokens.Policy
}

// New opens a door. hand gives calls to the owner loop, clock is its time.
func New(config Config, post func(...func()), clock func() (time.Duration, time.Time)) *Authenticator {
	d := &Authenticator{post: post, clock: clock, denials: map[authz.Denial]uint64{}}
	d.Reload(config)
	return d
}

// Reload puts what was read anew in force, whole. Ops that were let in before stay in.
func (d *Authenticator) Reload(config Config) {
	d.generation++
	if d.limiter == nil || config.MaxRateEntries != d.config.MaxRateEntries {
		d.limiter = d.limiter.Resize(config.MaxRateEntries)
	}
	switch {
	case config.KeySet == nil:
		if d.verifier != nil {
			d.verifier.ExpireWaiting(0, true)
		}
		d.verifier = nil
	case d.verifier == nil:
		d.verifier = tokens.NewVerifier(config.KeySet, config.TokenPolicy, config.RevokedTokens, config.TokenLimits)
		if d.checks == nil {
			// Never full: the office asks for no more checks at a time than may wait, and once more for each after a look.
			d.checks = make(chan tokenCheck, 4*maxPendingChecks)
			go verifyTokens(d.checks, d.handleResult)
		}
	default:
		d.verifier.Reload(config.KeySet, config.TokenPolicy, config.RevokedTokens, config.TokenLimits)
	}
	d.config = config
	d.trust.Store(config.TrustStore)
}

// maxPendingChecks bounds what an operator may allow to wait for a verdict.
const maxPendingChecks = 4096

// verifyTokens verifies one token after the other, beside the loop.
func verifyTokens(jobs <-chan tokenCheck, done func(tokens.CheckResult)) {
	for check := range jobs {
		started := time.Now()
		result := tokens.CheckResult{Raw: check.raw, Suspect: check.suspect, KeySet: check.keys}
		result.Claims, result.Denial = tokens.Verify(check.raw, func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
			key := check.keys.Find(id)
			if key == nil {
				return nil, keyring.UnknownKey
			}
			return key, key.CheckTime(started)
		}, check.policy)
		result.Duration = time.Since(started)
		done(result)
	}
}

func (d *Authenticator) handleResult(result tokens.CheckResult) {
	d.post(func() {
		if d.verifier != nil {
			now, wall := d.clock()
			action, raw := d.verifier.HandleResult(now, wall, result)
			d.perform(action, raw, result.Suspect)
		}
	})
}

// perform sees to what the office wants done.
func (d *Authenticator) perform(action tokens.Action, raw string, suspect bool) {
	switch action {
	case tokens.CheckToken:
		d.checks <- tokenCheck{raw, suspect, d.verifier.Keyring.Set(), d.verifier.Policy()}
	case tokens.ReloadKeys:
		verifier, keyDir := d.verifier, d.config.KeyDir
		go func() { // one at a time, a second apart at the least: the ring sees to that
			keys, err := keyring.LoadSet(keyDir)
			if err != nil {
				slog.Warn("keys-kept", "err", err)
			}
			d.post(func() {
				if d.verifier == verifier {
					d.handleKeys(keys)
				}
			})
		}()
	}
}

func (d *Authenticator) handleKeys(keys *keyring.KeySet) {
	generation := d.verifier.Keyring.Generation()
	recheck := d.verifier.HandleKeys(keys)
	if d.verifier.Keyring.Generation() != generation {
		d.config.KeySet = keys
		slog.Info("keys", "keys", len(keys.Keys()), "by", "look")
	}
	for _, raw := range recheck {
		d.perform(tokens.CheckToken, raw, false)
	}
}

// VerifyCertificate follows a client's chain during its handshake. It is called beside the loop.
func (d *Authenticator) VerifyCertificate(chain []*x509.Certificate) (any, string) {
	trust := d.trust.Load()
	if trust == nil {
		return nil, string(certs.Untrusted)
	}
	proof, denial := trust.Verify(chain, time.Now())
	if denial != "" {
		return nil, string(denial)
	}
	return proof, ""
}

// RevocationReason tells whether what a connection's certificate proved still counts; a reason bars it for good. It costs a
// comparison while nothing has changed.
func (d *Authenticator) RevocationReason(credential *Credential) authz.Denial {
	if credential.Proof == nil || credential.proofDenial != "" {
		return credential.proofDenial
	}
	_, wall := d.clock()
	if credential.proofGeneration == d.generation && credential.Proof.ValidAt(wall) {
		return ""
	}
	if d.config.TrustStore == nil {
		credential.proofDenial = certs.Untrusted
		return credential.proofDenial
	}
	credential.proofDenial = d.config.TrustStore.Recheck(credential.Proof, wall)
	credential.proofGeneration, credential.principalGeneration = d.generation, 0
	return credential.proofDenial
}

// NeedsRecheck tells whether a connection's proof was not looked at since something has changed.
func (d *Authenticator) NeedsRecheck(credential *Credential) bool {
	return credential.Proof != nil && credential.proofDenial == "" && credential.proofGeneration != d.generation
}

// Authorize asks for an op. done is called once, at once if all is known.
func (d *Authenticator) Authorize(credential *Credential, request Request, done func(Decision)) {
	if denial := d.RevocationReason(credential); denial != "" {
		done(d.deny(credential.principalName(), request, denial))
		return
	}
	if request.Token == "" {
		d.identifyByCertificate(credential)
		done(d.decide(credential, nil, &credential.principal, credential.principalDenial, request))
		return
	}
	if d.verifier == nil { // a token that nobody can check proves nothing, and takes nothing away
		d.identifyByCertificate(credential)
		done(d.decide(credential, nil, &credential.principal, credential.principalDenial, request))
		return
	}
	now, wall := d.clock()
	if credential.entry != nil && credential.token == request.Token {
		if denial, current := d.verifier.Revalidate(now, wall, credential.entry); current {
			d.identifyByToken(credential, request.Token, credential.entry)
			done(d.decide(credential, credential.entry, &credential.principal, firstDenial(denial, credential.principalDenial), request))
			return
		}
	}
	if entry, denial, known := d.verifier.Lookup(now, wall, request.Token); known {
		done(d.resume(credential, request, entry, denial, 0))
		return
	}
	if d.draining {
		d.deferred++
		done(Decision{RetryAfter: authz.MinRetryAfter})
		return
	}
	action, raw := d.verifier.RequestCheck(now, request.Token, credential.suspect, func(entry *tokens.CachedToken, denial authz.Denial, retryAfter time.Duration) {
		done(d.resume(credential, request, entry, denial, retryAfter))
	})
	d.perform(action, raw, credential.suspect)
}

func firstDenial(a, b authz.Denial) authz.Denial {
	if a != "" {
		return a
	}
	return b
}

// resume goes on with what is known of a token.
func (d *Authenticator) resume(credential *Credential, request Request, entry *tokens.CachedToken, denial authz.Denial, retryAfter time.Duration) Decision {
	if entry == nil && denial == "" {
		d.deferred++
		return Decision{RetryAfter: max(retryAfter, authz.MinRetryAfter)}
	}
	if denial != "" {
		credential.suspect = credential.suspect || IsForgery(denial)
		return d.deny("", request, denial)
	}
	if denial := d.RevocationReason(credential); denial != "" { // the certificate may have been taken back while the token was checked
		return d.deny(credential.principalName(), request, denial)
	}
	d.identifyByToken(credential, request.Token, entry)
	return d.decide(credential, entry, &credential.principal, credential.principalDenial, request)
}

// identifyByCertificate has b.who be the caller by its certificate alone.
func (d *Authenticator) identifyByCertificate(credential *Credential) {
	if credential.principalGeneration == d.generation && credential.entry == nil {
		return
	}
	credential.principalGeneration, credential.entry, credential.token = d.generation, nil, ""
	if credential.ConfiguredIdentity != "" {
		credential.principal, credential.principalDenial = d.config.Policy.Resolve([]authz.Identity{credential.ConfiguredIdentity}, "", nil)
		return
	}
	if credential.Proof == nil {
		credential.principal, credential.principalDenial = d.config.Policy.Anonymous()
		return
	}
	credential.principal, credential.principalDenial = d.config.Policy.Resolve(credential.Proof.Identities, "", nil)
}

// identifyByToken has b.who be the caller by a good token.
func (d *Authenticator) identifyByToken(credential *Credential, token string, entry *tokens.CachedToken) {
	if credential.principalGeneration == d.generation && credential.entry == entry {
		return
	}
	credential.principalGeneration, credential.entry, credential.token = d.generation, entry, token
	credential.principal, credential.principalDenial = d.config.Policy.Resolve(entry.Identities(), entry.Tenant, entry.Roles)
}

// decide tells whether a known caller may do what it asks, now.
func (d *Authenticator) decide(credential *Credential, entry *tokens.CachedToken, principal *authz.Principal, denial authz.Denial, request Request) Decision {
	if denial != "" {
		return d.deny(principal.Identity, request, denial)
	}
	roles, tenant, denial := d.config.Policy.Authorize(principal, request.Request)
	if denial != "" {
		return d.deny(principal.Identity, request, denial)
	}
	now, wall := d.clock()
	if entry != nil {
		denial, retryAfter := d.verifier.UseOnce(wall, entry)
		switch {
		case denial != "":
			return d.deny(principal.Identity, request, denial)
		case retryAfter > 0:
			d.deferred++
			return Decision{RetryAfter: retryAfter}
		}
	}
	permission, retryAfter, admitted := d.limiter.Acquire(now, principal, roles)
	if !admitted {
		d.deferred++
		return Decision{RetryAfter: retryAfter}
	}
	d.admitted++
	return Decision{Tenant: tenant, Permission: permission}
}

// Release takes a pass back whose op is over.
func (d *Authenticator) Release(permission *authz.Permission) {
	now, _ := d.clock()
	d.limiter.Release(now, permission)
}

// deny counts a denial and leaves its line.
func (d *Authenticator) deny(name authz.Identity, request Request, denial authz.Denial) Decision {
	d.denials[denial]++
	if _, wall := d.clock(); d.denialLog.Allow(denial, wall) {
		slog.Warn("denied", "why", denial, "caller", truncate(string(name)), "type", truncate(string(request.Class)), "tenant", truncate(string(request.Tenant)))
	}
	return Decision{Denial: denial}
}

// truncate bounds what a caller can write into the log.
func truncate(s string) string { return s[:min(len(s), 128)] }

func (b *Credential) principalName() authz.Identity {
	if b.Proof != nil && len(b.Proof.Identities) > 0 {
		return b.Proof.Identities[0]
	}
	return b.ConfiguredIdentity
}

// IsForgery tells whether a token that is denied so was never good anywhere: whoever brings several is no caller of ours.
func IsForgery(denial authz.Denial) bool {
	switch denial {
	case tokens.TooLong, tokens.Malformed, tokens.WrongAlgorithm, tokens.CriticalHeader, tokens.BadSignature, tokens.WrongIssuer,
		tokens.WrongAudience, tokens.NoSubject, keyring.UnknownKey:
		return true
	}
	return false
}

// logInterval is how often the counters are said while they move.
const logInterval = time.Minute

// Sweep is called some times a second: it gives up what has waited too long, and says what there is to say.
func (d *Authenticator) Sweep() {
	now, wall := d.clock()
	if d.verifier != nil {
		d.verifier.ExpireWaiting(now, false)
	}
	d.denialLog.FlushSuppressed(wall, func(denial authz.Denial, more int) { slog.Warn("denials", "why", denial, "more", more) })
	if now-d.loggedAt >= logInterval {
		d.loggedAt = now
		d.logCounters()
	}
}

// logCounters leaves a line with the counters, if they have moved since the last one.
func (d *Authenticator) logCounters() {
	total := d.admitted + d.deferred
	var attributes []any
	for _, denial := range slices.Sorted(maps.Keys(d.denials)) {
		total += d.denials[denial]
		attributes = append(attributes, string(denial), d.denials[denial])
	}
	if total == d.loggedTotal {
		return
	}
	d.loggedTotal = total
	cached, denied := 0, 0
	if d.verifier != nil {
		cached, denied = d.verifier.CacheSizes()
	}
	slog.Info("callers", append([]any{"admitted", d.admitted, "later", d.deferred, "tokens", cached, "bad_tokens", denied, "rates", d.limiter.Len()}, attributes...)...)
}

// Stop gives up all that wait, and lets nothing wait from here on: the instance is leaving, and answers everything now.
func (d *Authenticator) Stop() {
	d.draining = true
	d.logCounters()
	if d.verifier != nil {
		now, _ := d.clock()
		d.verifier.ExpireWaiting(now, true)
	}
}
