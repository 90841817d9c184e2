// Package tokens decides on signed tokens (JWT, RFC 7519): what one proves, what of it is remembered, how much time
// checking may take, and which may be used once. It is pure: keys, times and chance are arguments.
package tokens

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// Why a token proves nothing.
const (
	TooLong        authz.Denial = "too-long"
	Malformed      authz.Denial = "malformed"
	WrongAlgorithm authz.Denial = "algorithm" // none, one we don't take, or not the key's own
	CriticalHeader authz.Denial = "critical"  // it wants something understood that we don't
	BadSignature   authz.Denial = "signature"
	expired        authz.Denial = "expired"
	notYetValid    authz.Denial = "early"
	WrongIssuer    authz.Denial = "issuer"
	WrongAudience  authz.Denial = "audience"
	NoSubject      authz.Denial = "subject" // it names nobody
	Revoked        authz.Denial = "revoked"
	replayed       authz.Denial = "replayed"
	noTokenID      authz.Denial = "no-id" // single use is told, and it has no jti
)

// Policy is what a token has to say.
type Policy struct {
	Issuer      string
	Audience    string
	Leeway      time.Duration // between the issuer's clock and ours
	MaxBytes    int           // bytes
	TenantClaim string        // the claim with the tenant; empty: the file maps subjects
	RolesClaim  string        // the claim with the roles, a list or words
	SingleUse   bool          // a token counts for one op
}

// Claims are what a good token proves.
type Claims struct {
	Subject   string
	ID        string
	Tenant    admission.TenantID
	Roles     []authz.RoleName
	KeyID     keyring.KeyID
	NotBefore time.Time // not-before, without the leeway; zero if it has none
	Expiry    time.Time // without the leeway
}

// NewID draws an id for a token.
func NewID() string { return rand.Text() }

// Identities are the identities that it proves.
func (c *Claims) Identities() []authz.Identity {
	return []authz.Identity{authz.Identity("token:" + c.Subject)}
}

var algorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// Verify reads a token and checks all that does not change while it is remembered: its form, key, signature, issuer and
// audience. find gives the key in force. If the key does not count, its id comes back with the reason.
func Verify(raw string, findKey func(keyring.KeyID) (*keyring.Key, authz.Denial), policy *Policy) (Claims, authz.Denial) {
	var claims Claims
	// Danger: a token of any length costs time and memory before anything of it is known.
	if len(raw) > policy.MaxBytes {
		return claims, TooLong
	}
	header, _, _ := strings.Cut(raw, ".")
	headerJSON, err := base64.RawURLEncoding.DecodeString(header)
	var members map[string]json.RawMessage
	if err != nil || json.Unmarshal(headerJSON, &members) != nil {
		return claims, Malformed
	}
	if _, critical := members["crit"]; critical { // the library would let b64 pass, which a JWT must not use
		return claims, CriticalHeader
	}
	token, err := jwt.ParseSigned(raw, algorithms)
	var unexpected *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &unexpected):
		return claims, WrongAlgorithm
	case err != nil || len(token.Headers) != 1 || token.Headers[0].KeyID == "":
		return claims, Malformed
	}
	claims.KeyID = keyring.KeyID(token.Headers[0].KeyID)
	key, denial := findKey(claims.KeyID)
	if denial != "" {
		return claims, denial
	}
	// Danger: a token that chooses how it is checked, as one signed by an RSA key's public half as if it were a secret.
	if token.Headers[0].Algorithm != string(key.Algorithm) {
		return claims, WrongAlgorithm
	}
	var registered jwt.Claims
	var private map[string]any
	switch err := token.Claims(key.PublicKey, &registered, &private); {
	case errors.Is(err, jose.ErrCryptoFailure):
		return claims, BadSignature
	case err != nil:
		return claims, Malformed
	case registered.Issuer != policy.Issuer:
		return claims, WrongIssuer
	case !registered.Audience.Contains(policy.Audience):
		return claims, WrongAudience
	case registered.Subject == "":
		return claims, NoSubject
	case registered.Expiry == nil:
		return claims, Malformed // a token that never ends is none of ours
	case policy.SingleUse && registered.ID == "":
		return claims, noTokenID
	}
	claims.Subject, claims.ID, claims.Expiry = registered.Subject, registered.ID, registered.Expiry.Time()
	if registered.NotBefore != nil {
		claims.NotBefore = registered.NotBefore.Time()
	}
	if policy.TenantClaim != "" {
		tenant, _ := private[policy.TenantClaim].(string)
		claims.Tenant = admission.TenantID(tenant)
	}
	if policy.RolesClaim != "" {
		switch roles := private[policy.RolesClaim].(type) {
		case string:
			for _, role := range strings.Fields(roles) {
				claims.Roles = append(claims.Roles, authz.RoleName(role))
			}
		case []any:
			for _, role := range roles {
				if name, ok := role.(string); ok {
					claims.Roles = append(claims.Roles, authz.RoleName(name))
				}
			}
		}
	}
	return claims, ""
}

// CheckTime tells whether claims count at a moment, with the leeway.
func (c *Claims) CheckTime(wall time.Time, policy *Policy) authz.Denial {
	switch {
	case !wall.Before(c.Expiry.Add(policy.Leeway)):
		return expired
	case !c.NotBefore.IsZero() && wall.Before(c.NotBefore.Add(-policy.Leeway)):
		return notYetValid
	}
	return ""
}
