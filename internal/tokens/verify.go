// Package tokens decides on signed tokens (JWT, RFC 7519): what one proves, what of it is cached, how much time checks
// may take, and which may be used once. It does no I/O: keys and times are arguments.
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

// Why a token proves nothing.
const (
	TooLong        authz.Denial = "too-long"
	Malformed      authz.Denial = "malformed"
	WrongAlgorithm authz.Denial = "algorithm" // none, one that is not accepted, or not the key's own
	CriticalHeader authz.Denial = "critical"  // it requires a header to be understood that is not
	BadSignature   authz.Denial = "signature"
	expired        authz.Denial = "expired"
	notYetValid    authz.Denial = "early"
	WrongIssuer    authz.Denial = "issuer"
	WrongAudience  authz.Denial = "audience"
	NoSubject      authz.Denial = "subject" // it names nobody
	Revoked        authz.Denial = "revoked"
	replayed       authz.Denial = "replayed"
	noTokenID      authz.Denial = "no-id" // it has no jti, and the policy is single use
)

// Policy is what a token has to say.
type Policy struct {
	Issuer      string
	Audience    string
	Leeway      time.Duration // between the issuer's clock and ours
	MaxBytes    int
	TenantClaim string // the claim with the tenant; empty: the operator's file maps subjects
	RolesClaim  string // the claim with the roles: a list, or words in a string
	SingleUse   bool   // a token counts for one request
}

var acceptedAlgorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// Verify reads a token and checks all that does not change while it is cached: its form, key, signature, issuer and
// audience. findKey gives the key in force, or why it does not count; the claims have the key's id then, and only that.
// It may be called from any goroutine.
func Verify(
	raw string, findKey func(keyring.KeyID) (*keyring.Key, authz.Denial), policy *Policy,
) (Claims, authz.Denial) {
	// Before anything of the token is known, its length bounds the time and memory that it costs.
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
	// The algorithm is the key's, not the token's choice: the public half of an RSA key must not pass as an HMAC's secret.
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

// parse takes a token apart without trusting anything in it. A parsed token has one header with a key's id.
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
	if _, critical := members["crit"]; critical { // the library accepts b64, which a JWT must not use
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

func (p *Policy) checkRegistered(registered *jwt.Claims) authz.Denial {
	switch {
	case registered.Issuer != p.Issuer:
		return WrongIssuer
	case !registered.Audience.Contains(p.Audience):
		return WrongAudience
	case registered.Subject == "":
		return NoSubject
	case registered.Expiry == nil: // a token has to expire
		return Malformed
	case p.SingleUse && registered.ID == "":
		return noTokenID
	}
	return ""
}
