package authz

import (
	"slices"

	"lanewheel/admission"
)

// RoleName is the name of a role.
type RoleName string

// wildcard in a list matches all tenants or classes. At the end of a pattern it matches any suffix.
const wildcard = "*"

// Role is a set of permissions with limits. A caller with several roles has the permissions of all of them.
type Role struct {
	Name          RoleName
	Tenants       []admission.TenantID // in addition to the identity's own
	Classes       []admission.Class
	CanRead       bool
	CanWrite      bool
	RatePerSecond float64 // requests per second of one identity; 0: no limit
	Burst         float64 // requests at once; at least 1 if there is a rate
	MaxInFlight   int     // requests of one identity in flight; 0: no limit
}

func (r *Role) allowsTenant(tenant admission.TenantID) bool {
	return slices.Contains(r.Tenants, tenant) || slices.Contains(r.Tenants, wildcard)
}

func (r *Role) allowsClass(class admission.Class) bool {
	return slices.Contains(r.Classes, class) || slices.Contains(r.Classes, wildcard)
}

// unlimited reports whether the role limits neither the rate nor the requests in flight.
func (r *Role) unlimited() bool {
	return r.RatePerSecond <= 0 && r.MaxInFlight <= 0
}

// Binding maps identities to a tenant and roles.
type Binding struct {
	Name     string
	Patterns []string // identities; a * at the end matches any suffix
	Tenant   admission.TenantID
	Roles    []RoleName
}
