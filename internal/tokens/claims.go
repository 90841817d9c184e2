package tokens

import (
	"crypto/rand"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
)

// Claims are the claims of a verified token.
type Claims struct {
	Subject   string
	ID        string // the jti claim; empty if the token has none
	Tenant    admission.TenantID
	Roles     []authz.RoleName
	KeyID     keyring.KeyID
	NotBefore time.Time // without the leeway; zero if the token has no nbf claim
	Expiry    time.Time // without the leeway
}

// NewID returns a random token ID.
func NewID() string { return rand.Text() }

// Identities returns the identities that the token proves: its subject.
func (c *Claims) Identities() []authz.Identity {
	return []authz.Identity{authz.NewIdentity(authz.TokenIdentity, c.Subject)}
}

// CheckTime returns the denial if the claims are expired or not yet valid at the given time, allowing for the policy's
// leeway. It returns "" if they are valid.
func (c *Claims) CheckTime(wall time.Time, policy *Policy) authz.Denial {
	switch {
	case !wall.Before(c.Expiry.Add(policy.Leeway)):
		return expired
	case !c.NotBefore.IsZero() && wall.Before(c.NotBefore.Add(-policy.Leeway)):
		return notYetValid
	}
	return ""
}

// setRegistered copies the registered claims of RFC 7519. registered.Expiry must not be nil.
func (c *Claims) setRegistered(registered *jwt.Claims) {
	c.Subject = registered.Subject
	c.ID = registered.ID
	c.Expiry = registered.Expiry.Time()
	if registered.NotBefore != nil {
		c.NotBefore = registered.NotBefore.Time()
	}
}

// setPrivate copies the tenant and role claims that the policy names. A claim of an unexpected type is treated as
// missing.
func (c *Claims) setPrivate(private map[string]any, policy *Policy) {
	if policy.TenantClaim != "" {
		tenant, _ := private[policy.TenantClaim].(string)
		c.Tenant = admission.TenantID(tenant)
	}
	if policy.RolesClaim == "" {
		return
	}
	switch roles := private[policy.RolesClaim].(type) {
	case string:
		for _, role := range strings.Fields(roles) {
			c.Roles = append(c.Roles, authz.RoleName(role))
		}
	case []any:
		for _, role := range roles {
			if name, isText := role.(string); isText {
				c.Roles = append(c.Roles, authz.RoleName(name))
			}
		}
	}
}
