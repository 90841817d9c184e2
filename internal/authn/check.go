package authn

import (
	"log/slog"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

type tokenCheck struct {
	raw     string
	suspect bool
	keys    *keyring.KeySet
	policy  *tokens.Policy
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

// IsForgery tells whether a token that is denied so was never good anywhere: whoever brings several is no caller of ours.
func IsForgery(denial authz.Denial) bool {
	switch denial {
	case tokens.TooLong, tokens.Malformed, tokens.WrongAlgorithm, tokens.CriticalHeader, tokens.BadSignature, tokens.WrongIssuer,
		tokens.WrongAudience, tokens.NoSubject, keyring.UnknownKey:
		return true
	}
	return false
}
