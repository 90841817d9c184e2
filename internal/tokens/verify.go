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

	"lanewheel/choice"
	"lanewheel/internal/keyring"
	"lanewheel/internal/rights"
)

// Why a token proves nothing.
const (
	TooLong   rights.Denial = "too-long"
	Malformed rights.Denial = "malformed"
	Algorithm rights.Denial = "algorithm" // none, one we don't take, or not the key's own
	Critical  rights.Denial = "critical"  // it wants something understood that we don't
	Signature rights.Denial = "signature"
	Expired   rights.Denial = "expired"
	Early     rights.Denial = "early"
	Issuer    rights.Denial = "issuer"
	Audience  rights.Denial = "audience"
	Subject   rights.Denial = "subject" // it names nobody
	Revoked   rights.Denial = "revoked"
	Replayed  rights.Denial = "replayed"
	NoID      rights.Denial = "no-id" // single use is told, and it has no jti
)

// Policy is what a token has to say.
type Policy struct {
	Issuer   string
	Audience string
	Leeway   time.Duration // between the issuer's clock and ours
	Longest  int           // bytes
	Tenant   string        // the claim with the tenant; empty: the file maps subjects
	Roles    string        // the claim with the roles, a list or words
	Single   bool          // a token counts for one op
}

// Claims are what a good token proves.
type Claims struct {
	Subject string
	ID      string
	Tenant  choice.TenantID
	Roles   []rights.RoleName
	Key     keyring.KeyID
	Before  time.Time // not-before, without the leeway; zero if it has none
	Expiry  time.Time // without the leeway
}

// NewID draws an id for a token.
func NewID() string { return rand.Text() }

// Names are the identities that it proves.
func (c *Claims) Names() []rights.Identity {
	return []rights.Identity{rights.Identity("token:" + c.Subject)}
}

var algorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// Verify reads a token and checks all that does not change while it is remembered: its form, key, signature, issuer and
// audience. find gives the key in force. If the key does not count, its id comes back with the reason.
func Verify(raw string, find func(keyring.KeyID) (*keyring.Key, rights.Denial), p *Policy) (Claims, rights.Denial) {
	var c Claims
	// Danger: a token of any length costs time and memory before anything of it is known.
	if len(raw) > p.Longest {
		return c, TooLong
	}
	header, _, _ := strings.Cut(raw, ".")
	plain, err := base64.RawURLEncoding.DecodeString(header)
	var members map[string]json.RawMessage
	if err != nil || json.Unmarshal(plain, &members) != nil {
		return c, Malformed
	}
	if _, wants := members["crit"]; wants { // the library would let b64 pass, which a JWT must not use
		return c, Critical
	}
	token, err := jwt.ParseSigned(raw, algorithms)
	var other *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &other):
		return c, Algorithm
	case err != nil || len(token.Headers) != 1 || token.Headers[0].KeyID == "":
		return c, Malformed
	}
	c.Key = keyring.KeyID(token.Headers[0].KeyID)
	key, why := find(c.Key)
	if why != "" {
		return c, why
	}
	// Danger: a token that chooses how it is checked, as one signed by an RSA key's public half as if it were a secret.
	if token.Headers[0].Algorithm != string(key.Algorithm) {
		return c, Algorithm
	}
	var told jwt.Claims
	var more map[string]any
	switch err := token.Claims(key.Public, &told, &more); {
	case errors.Is(err, jose.ErrCryptoFailure):
		return c, Signature
	case err != nil:
		return c, Malformed
	case told.Issuer != p.Issuer:
		return c, Issuer
	case !told.Audience.Contains(p.Audience):
		return c, Audience
	case told.Subject == "":
		return c, Subject
	case told.Expiry == nil:
		return c, Malformed // a token that never ends is none of ours
	case p.Single && told.ID == "":
		return c, NoID
	}
	c.Subject, c.ID, c.Expiry = told.Subject, told.ID, told.Expiry.Time()
	if told.NotBefore != nil {
		c.Before = told.NotBefore.Time()
	}
	if p.Tenant != "" {
		tenant, _ := more[p.Tenant].(string)
		c.Tenant = choice.TenantID(tenant)
	}
	if p.Roles != "" {
		switch roles := more[p.Roles].(type) {
		case string:
			for _, r := range strings.Fields(roles) {
				c.Roles = append(c.Roles, rights.RoleName(r))
			}
		case []any:
			for _, r := range roles {
				if name, is := r.(string); is {
					c.Roles = append(c.Roles, rights.RoleName(name))
				}
			}
		}
	}
	return c, ""
}

// At tells whether claims count at a moment, with the leeway.
func (c *Claims) At(wall time.Time, p *Policy) rights.Denial {
	switch {
	case !wall.Before(c.Expiry.Add(p.Leeway)):
		return Expired
	case !c.Before.IsZero() && wall.Before(c.Before.Add(-p.Leeway)):
		return Early
	}
	return ""
}

// Revocations are tokens and subjects that no longer count, whatever they prove. A nil one has none.
type Revocations struct {
	ids, subjects map[string]bool
}

// mostRevoked is how many lines a list may have; tokens that have expired need none.
const mostRevoked = 100_000

// ReadRevocations reads a list: a line each of "jti ID" or "sub SUBJECT"; # begins a comment. It gives the line that is
// wrong, 0 if none is.
func ReadRevocations(text string) (*Revocations, int) {
	r := &Revocations{ids: map[string]bool{}, subjects: map[string]bool{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		kind, what, _ := strings.Cut(line, " ")
		what = strings.TrimSpace(what)
		switch {
		case line == "" || line[0] == '#':
		case what == "" || len(r.ids)+len(r.subjects) >= mostRevoked:
			return nil, i + 1
		case kind == "jti":
			r.ids[what] = true
		case kind == "sub":
			r.subjects[what] = true
		default:
			return nil, i + 1
		}
	}
	return r, 0
}

// Has tells whether what claims are about is on the list.
func (r *Revocations) Has(c *Claims) bool {
	return r != nil && (c.ID != "" && r.ids[c.ID] || r.subjects[c.Subject])
}
