// Package authn tells who makes a request and whether it may be admitted. What is decided lives in authz, keyring,
// tokens and certs; this package puts it together, and does what takes time (signatures, reading files) off the
// event loop.
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

// Config is what the operator's file says of callers, read and checked whole.
type Config struct {
	Policy         *authz.Policy
	MaxRateEntries int               // identities whose rates and requests in flight are counted at a time
	TrustStore     *certs.TrustStore // nil: certificates are not accepted
	KeySet         *keyring.KeySet   // nil: tokens are not accepted
	KeyDir         string            // the folder that the keys are read from again
	TokenPolicy    *tokens.Policy
	RevokedTokens  *tokens.Revocations
	TokenLimits    tokens.Limits
}

// Authenticator decides on requests. Owned by the server's event loop, which calls all methods but VerifyCertificate:
// that one is called from the goroutines of handshakes. Tokens are verified one after the other on a goroutine that is
// started with the first keys and runs until the process ends.
type Authenticator struct {
	post  func(...func())                            // runs functions on the event loop
	clock func() (now time.Duration, wall time.Time) // the event loop's time

	config     Config
	generation generation
	trust      atomic.Pointer[certs.TrustStore] // for handshakes; equals config.TrustStore
	limiter    *authz.RateLimiter
	verifier   *tokens.Verifier // nil: tokens are not accepted
	checks     chan tokenCheck  // to the goroutine that verifies tokens; nil until there are keys
	draining   bool             // no request waits for a check any more

	counters  counters
	denialLog logging.Sampler[authz.Denial]
}

// generation counts configurations, from 1 on. What was found out by an earlier one is found out again.
type generation uint64

// New makes an authenticator. post runs functions on the event loop and may be called from any goroutine; clock is the
// event loop's time.
func New(config Config, post func(...func()), clock func() (time.Duration, time.Time)) *Authenticator {
	a := &Authenticator{
		post:     post,
		clock:    clock,
		counters: counters{denied: map[authz.Denial]uint64{}},
	}
	a.Reload(config)
	return a
}

// Reload puts another configuration in force, whole. Requests that were admitted before stay admitted.
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
		// Never full: the verifier asks for at most as many checks as may wait, and once more for each after new keys.
		a.checks = make(chan tokenCheck, 4*maxPendingChecks)
		go verifyTokens(a.checks, a.handleResult)
	}
}

// Sweep defers the requests that have waited too long for the check of their token, and logs what is due. It is called
// several times a second.
func (a *Authenticator) Sweep() {
	now, wall := a.clock()
	if a.verifier != nil {
		a.verifier.ExpireWaiting(now, false)
	}
	a.logSweep(now, wall)
}

// Stop defers all requests that wait for the check of a token, and lets none wait from now on: the server drains, and
// answers everything at once.
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
