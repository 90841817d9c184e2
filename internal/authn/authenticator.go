// Package authn identifies the caller of a request and decides whether the request may be admitted. The rules are in
// packages authz, keyring, tokens and certs. This package combines them, and verifies signatures and reads files off
// the event loop, because both take time.
package authn

import (
	"sync/atomic"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/logging"
	"lanewheel/internal/tokens"
)

// Config holds the settings for identifying and authorizing callers, from the operator's file. All of them have been
// read and validated.
type Config struct {
	Policy         *authz.Policy
	MaxRateEntries int               // maximum number of pairs of identity and role in the rate limiter
	TrustStore     *certs.TrustStore // nil: certificates are not accepted
	KeySet         *keyring.KeySet   // nil: tokens are not accepted
	KeyDir         string            // folder from which the keys are reloaded
	TokenPolicy    *tokens.Policy
	RevokedTokens  *tokens.Revocations
	TokenLimits    tokens.Limits
}

// Authenticator decides which requests are admitted. It is owned by the server's event loop, which calls all methods
// except VerifyCertificate. That method is called from the goroutines of handshakes. Tokens are verified one at a time
// on a goroutine that is started with the first keys and runs until the process ends.
type Authenticator struct {
	post  func(...func())                            // runs functions on the event loop
	clock func() (now time.Duration, wall time.Time) // returns the event loop's time

	config     Config
	generation generation                       // generation of config
	trust      atomic.Pointer[certs.TrustStore] // for handshakes; equals config.TrustStore
	limiter    *authz.RateLimiter
	verifier   *tokens.Verifier // nil: tokens are not accepted
	checks     chan tokenCheck  // to the goroutine that verifies tokens; nil until there are keys
	draining   bool             // set by Stop: no request waits for a token check any more

	counters  counters
	denialLog logging.Sampler[authz.Denial]
}

// generation is the number of a configuration, starting at 1. A result that was determined under an earlier generation
// is determined again before it is used.
type generation uint64

// New returns an authenticator with the given configuration. post runs functions on the event loop and may be called
// from any goroutine; clock returns the event loop's time.
func New(config Config, post func(...func()), clock func() (time.Duration, time.Time)) *Authenticator {
	a := &Authenticator{
		post:     post,
		clock:    clock,
		counters: counters{denied: map[authz.Denial]uint64{}},
	}
	a.Reload(config)
	return a
}

// Reload replaces the whole configuration. Requests that are already admitted stay admitted.
func (a *Authenticator) Reload(config Config) {
	a.generation++
	if a.limiter == nil || config.MaxRateEntries != a.config.MaxRateEntries {
		a.limiter = a.limiter.Resize(config.MaxRateEntries)
	}
	a.reloadVerifier(config)
	a.config = config
	a.trust.Store(config.TrustStore)
}

func (a *Authenticator) reloadVerifier(config Config) {
	if config.KeySet == nil {
		a.expireWaiting()
		a.verifier = nil
		return
	}
	if a.verifier != nil {
		a.verifier.Reload(config.KeySet, config.TokenPolicy, config.RevokedTokens, config.TokenLimits)
		return
	}
	a.verifier = tokens.NewVerifier(config.KeySet, config.TokenPolicy, config.RevokedTokens, config.TokenLimits)
	if a.checks == nil {
		// The channel is never full: the verifier requests at most one check for each request that may wait, and one more
		// for each after the keys have changed.
		a.checks = make(chan tokenCheck, 4*maxPendingChecks)
		go verifyTokens(a.checks, a.handleResult)
	}
}

// Sweep defers the requests that have waited too long for the check of their token, and logs suppressed denials and
// counters when they are due. It is called several times per second.
func (a *Authenticator) Sweep() {
	now, wall := a.clock()
	if a.verifier != nil {
		a.verifier.ExpireWaiting(now, false)
	}
	a.logSweep(now, wall)
}

// Stop defers all requests that wait for the check of a token, and makes Authorize defer later ones at once. It is
// called when the server drains, because a draining server must respond to each request immediately.
func (a *Authenticator) Stop() {
	a.draining = true
	a.logCounters()
	a.expireWaiting()
}

// expireWaiting defers all requests that wait for the check of a token.
func (a *Authenticator) expireWaiting() {
	if a.verifier == nil {
		return
	}
	now, _ := a.clock()
	a.verifier.ExpireWaiting(now, true)
}
