// Package tokens verifies signed tokens (JWT, RFC 7519). It caches verified tokens and denials, limits the CPU time
// spent on checks, and enforces single use. It does no I/O: callers pass in keys and times.
package tokens

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// The reasons for which a token is denied.
const (
	TooLong        authz.Denial = "too-long"
	Malformed      authz.Denial = "malformed"
	WrongAlgorithm authz.Denial = "algorithm" // "none", an algorithm that is not accepted, or not the key's algorithm
	CriticalHeader authz.Denial = "critical"  // the crit header requires an extension, and none is supported
	BadSignature   authz.Denial = "signature"
	expired        authz.Denial = "expired"
	notYetValid    authz.Denial = "early"
	WrongIssuer    authz.Denial = "issuer"
	WrongAudience  authz.Denial = "audience"
	NoSubject      authz.Denial = "subject" // the sub claim is missing or empty
	Revoked        authz.Denial = "revoked"
	replayed       authz.Denial = "replayed"
	noTokenID      authz.Denial = "no-id" // the policy is single use, and the token has no jti claim
)

// Policy defines which tokens are accepted and how their claims are read.
type Policy struct {
	Issuer      string
	Audience    string
	Leeway      time.Duration // tolerated difference between the issuer's clock and the local clock
	MaxBytes    int           // maximum length of a token
	TenantClaim string        // the claim that holds the tenant; if empty, the operator's file maps subjects to tenants
	RolesClaim  string        // the claim that holds the roles: a list or a space-separated string; if empty, none is read
	SingleUse   bool          // each token is valid for one request only
}

var acceptedAlgorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// Verify parses a token and checks the properties that do not change while it is cached: its form, key, signature,
// issuer, audience and required claims. It does not check the token's times or revocation. findKey returns the key
// with an ID, or a denial if there is no valid key with that ID. If the token is denied after its key ID was read, the
// returned claims hold only the key ID. Verify may be called from any goroutine.
func Verify(
	raw string, findKey func(keyring.KeyID) (*keyring.Key, authz.Denial), policy *Policy,
) (Claims, authz.Denial) {
	// The length check comes first: it limits the time and memory that an unverified token can cost.
	if len(raw) > policy.MaxBytes {
		return Claims{}, TooLong
	}
	token, denial := parse(raw)
	if denial != "" {
		return Claims{}, denial
	}
	header := token.Headers[0]
	claims := Claims{KeyID: keyring.KeyID(header.KeyID)}
	key, denial := findKey(claims.KeyID)
	if denial != "" {
		return claims, denial
	}
	// The key determines the algorithm, not the token: the public half of an RSA key must not be accepted as an HMAC
	// secret.
	if header.Algorithm != string(key.Algorithm) {
		return claims, WrongAlgorithm
	}
	var registered jwt.Claims
	var private map[string]any
	if err := token.Claims(key.PublicKey, &registered, &private); err != nil {
		if errors.Is(err, jose.ErrCryptoFailure) {
			return claims, BadSignature
		}
		return claims, Malformed
	}
	if denial := policy.checkRegistered(&registered); denial != "" {
		return claims, denial
	}
	claims.setRegistered(&registered)
	claims.setPrivate(private, policy)
	return claims, ""
}

// parse parses a token without verifying it. A token that it returns has exactly one signature header, with a key ID.
func parse(raw string) (*jwt.JSONWebToken, authz.Denial) {
	header, _, _ := strings.Cut(raw, ".")
	headerJSON, err := base64.RawURLEncoding.DecodeString(header)
	if err != nil {
		return nil, Malformed
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(headerJSON, &members) != nil {
		return nil, Malformed
	}
	if _, critical := members["crit"]; critical { // the library accepts the b64 extension, which a JWT must not use
		return nil, CriticalHeader
	}
	token, err := jwt.ParseSigned(raw, acceptedAlgorithms)
	var unexpected *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &unexpected):
		return nil, WrongAlgorithm
	case err != nil || len(token.Headers) != 1 || token.Headers[0].KeyID == "":
		return nil, Malformed
	}
	return token, ""
}

// checkRegistered returns the denial if a registered claim is missing or does not match the policy. It does not check
// the token's times.
func (p *Policy) checkRegistered(registered *jwt.Claims) authz.Denial {
	switch {
	case registered.Issuer != p.Issuer:
		return WrongIssuer
	case !registered.Audience.Contains(p.Audience):
		return WrongAudience
	case registered.Subject == "":
		return NoSubject
	case registered.Expiry == nil: // every token must have an expiry
		return Malformed
	case p.SingleUse && registered.ID == "":
		return noTokenID
	}
	return ""
}
