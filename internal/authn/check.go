package authn

import (
	"log/slog"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

// maxPendingChecks bounds how many requests an operator may allow to wait for the check of a token.
const maxPendingChecks = 4096

// tokenCheck is a token to be verified off the event loop, with all that the check reads.
type tokenCheck struct {
	raw     string
	suspect bool
	keys    *keyring.KeySet
	policy  *tokens.Policy
}

// verifyTokens verifies one token after the other, and hands each result to done on its own goroutine.
func verifyTokens(checks <-chan tokenCheck, done func(tokens.CheckResult)) {
	for check := range checks {
		done(check.verify())
	}
}

func (c tokenCheck) verify() tokens.CheckResult {
	started := time.Now()
	findKey := func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		key := c.keys.Find(id)
		if key == nil {
			return nil, keyring.UnknownKey
		}
		return key, key.CheckTime(started)
	}
	claims, denial := tokens.Verify(c.raw, findKey, c.policy)
	return tokens.CheckResult{
		Raw:      c.raw,
		Suspect:  c.suspect,
		Claims:   claims,
		Denial:   denial,
		Duration: time.Since(started),
		KeySet:   c.keys,
	}
}

// handleResult brings a result to the event loop; it is called on the goroutine of the checks.
func (a *Authenticator) handleResult(result tokens.CheckResult) {
	a.post(func() {
		if a.verifier == nil { // tokens are no longer accepted
			return
		}
		now, wall := a.clock()
		a.perform(a.verifier.HandleResult(now, wall, result), result.Suspect)
	})
}

// perform starts what the verifier wants done off the event loop.
func (a *Authenticator) perform(step tokens.Step, suspect bool) {
	switch step.Action {
	case tokens.CheckToken:
		a.checks <- tokenCheck{
			raw:     step.Token,
			suspect: suspect,
			keys:    a.verifier.KeySet(),
			policy:  a.verifier.Policy(),
		}
	case tokens.ReloadKeys:
		go a.reloadKeys(a.verifier, a.config.KeyDir)
	}
}

// reloadKeys reads the folder of keys again, off the event loop. The keyring sees to it that one read is under way at a
// time. A verifier that was replaced in the meantime gets nothing of it.
func (a *Authenticator) reloadKeys(verifier *tokens.Verifier, keyDir string) {
	keys, err := keyring.LoadSet(keyDir)
	if err != nil {
		slog.Warn("key folder unreadable, keeping current keys", "err", err)
	}
	a.post(func() {
		if a.verifier == verifier {
			a.handleKeys(keys)
		}
	})
}

// handleKeys takes the keys that were read; nil if they could not be.
func (a *Authenticator) handleKeys(keys *keyring.KeySet) {
	recheck, replaced := a.verifier.HandleKeys(keys)
	if replaced {
		a.config.KeySet = keys
		slog.Info("keys loaded", "count", len(keys.Keys()), "trigger", "unknown key")
	}
	for _, raw := range recheck {
		a.perform(tokens.Step{Action: tokens.CheckToken, Token: raw}, false)
	}
}

// IsForgery tells whether a token that is denied so was never good anywhere. A caller that brings several is none of
// ours.
func IsForgery(denial authz.Denial) bool {
	switch denial {
	case tokens.TooLong,
		tokens.Malformed,
		tokens.WrongAlgorithm,
		tokens.CriticalHeader,
		tokens.BadSignature,
		tokens.WrongIssuer,
		tokens.WrongAudience,
		tokens.NoSubject,
		keyring.UnknownKey:
		return true
	}
	return false
}
