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

// Claims are what a good token proves.
type Claims struct {
	Subject   string
	ID        string // jti; empty: none
	Tenant    admission.TenantID
	Roles     []authz.RoleName
	KeyID     keyring.KeyID
	NotBefore time.Time // without the leeway; zero: none
	Expiry    time.Time // without the leeway
}

// NewID draws an id for a token.
func NewID() string { return rand.Text() }

// Identities are the identities that it proves.
func (c *Claims) Identities() []authz.Identity {
	return []authz.Identity{authz.NewIdentity(authz.TokenIdentity, c.Subject)}
}

// CheckTime tells why claims do not count at a moment, with the policy's leeway; empty if they do.
func (c *Claims) CheckTime(wall time.Time, policy *Policy) authz.Denial {
	switch {
	case !wall.Before(c.Expiry.Add(policy.Leeway)):
		return expired
	case !c.NotBefore.IsZero() && wall.Before(c.NotBefore.Add(-policy.Leeway)):
		return notYetValid
	}
	return ""
}

// setRegistered copies the claims that every token has; registered has an expiry.
func (c *Claims) setRegistered(registered *jwt.Claims) {
	c.Subject = registered.Subject
	c.ID = registered.ID
	c.Expiry = registered.Expiry.Time()
	if registered.NotBefore != nil {
		c.NotBefore = registered.NotBefore.Time()
	}
}

// setPrivate copies the claims that the policy names. One of another type than it should have counts as none.
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
