// Package authn is the door: it tells who an op's caller is and whether the op may come in. What it decides stands in
// rights, keyring, tokens and certs; here it is put together, and what takes time is done beside the owner loop.
package authn

import (
	"log/slog"
	"sync/atomic"
	"time"

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

// Stop gives up all that wait, and lets nothing wait from here on: the instance is leaving, and answers everything now.
func (d *Authenticator) Stop() {
	d.draining = true
	d.logCounters()
	if d.verifier != nil {
		now, _ := d.clock()
		d.verifier.ExpireWaiting(now, true)
	}
}
