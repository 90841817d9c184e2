package config

import (
	"time"

	"lanewheel/internal/tokens"
)

// Tokens configures how signed tokens are verified.
type Tokens struct {
	Enabled        bool
	KeyDir         string // the directory of the published keys
	RevocationFile string // empty for none
	Policy         tokens.Policy
	Limits         tokens.Limits
}

func (r *reader) readTokens() Tokens {
	parsed := Tokens{
		Policy: tokens.Policy{
			Leeway:   30 * time.Second, // devices synchronize their clocks with the network only occasionally
			MaxBytes: 2048,             // enough for an RSA signature and a page of claims
		},
		Limits: tokens.Limits{
			MaxSingleUseIDs:   65_536, // a few minutes of requests at a busy instance
			MaxCached:         8_192,
			MaxWaiting:        256,
			CPUFraction:       0.1, // of a core
			KeyReloadInterval: time.Second,
		},
	}
	s := r.section("tokens")
	parsed.Enabled = s.exists()
	s.requiredPath("key-dir", &parsed.KeyDir)
	policy := &parsed.Policy
	s.requiredString("issuer", &policy.Issuer)
	s.requiredString("audience", &policy.Audience)
	s.durationValue("leeway", &policy.Leeway, 0, time.Hour)
	s.intValue("max-bytes", &policy.MaxBytes, 64, 4096)
	s.stringValue("tenant-claim", &policy.TenantClaim)
	s.stringValue("roles-claim", &policy.RolesClaim)
	s.pathValue("revocation-file", &parsed.RevocationFile)
	s.boolValue("single-use", &policy.SingleUse)
	limits := &parsed.Limits
	s.intValue("max-single-use-ids", &limits.MaxSingleUseIDs, 1, 10_000_000)
	s.intValue("cache-size", &limits.MaxCached, 16, 1_000_000)
	s.intValue("max-waiting", &limits.MaxWaiting, 1, 4096)
	s.floatValue("cpu-fraction", &limits.CPUFraction, 0.001, 1)
	s.durationValue("key-reload-interval", &limits.KeyReloadInterval, 10*time.Millisecond, time.Hour)
	s.reportUnknownNames()
	return parsed
}
