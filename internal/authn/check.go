package authn

import (
	"log/slog"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

// maxPendingChecks is the largest value of tokens.Limits.MaxWaiting that an operator may configure.
const maxPendingChecks = 4096

// tokenCheck is a token to be verified off the event loop, with all data that the check reads.
type tokenCheck struct {
	raw     string
	suspect bool
	keys    *keyring.KeySet
	policy  *tokens.Policy
}

// verifyTokens verifies the tokens of checks one at a time and calls done with each result, on the calling goroutine.
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

// handleResult posts the result of a check to the event loop. It is called on the goroutine that verifies tokens.
func (a *Authenticator) handleResult(result tokens.CheckResult) {
	a.post(func() {
		if a.verifier == nil { // tokens are no longer accepted
			return
		}
		now, wall := a.clock()
		a.perform(a.verifier.HandleResult(now, wall, result), result.Suspect)
	})
}

// perform starts the action of a verifier's step. The action runs off the event loop.
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

// reloadKeys reloads the key folder off the event loop. The keyring ensures that only one reload is in progress at a
// time. The result is ignored if the verifier was replaced in the meantime.
func (a *Authenticator) reloadKeys(verifier *tokens.Verifier, keyDir string) {
	keys, err := keyring.LoadSet(keyDir)
	if err != nil {
		slog.Warn("key folder reload failed, keeping current keys", "err", err)
	}
	a.post(func() {
		if a.verifier == verifier {
			a.handleKeys(keys)
		}
	})
}

// handleKeys passes reloaded keys to the verifier and starts the checks that waited for them. keys is nil if the folder
// could not be loaded.
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

// IsForgery reports whether a denial means that the token was never valid for this service. A caller that sends several
// such tokens is not a legitimate client.
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
