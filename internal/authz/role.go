package authz

import (
	"slices"

	"lanewheel/admission"
)

// RoleName is the name of a role.
type RoleName string

// wildcard stands in a list for all tenants or classes, and at the end of a pattern for any rest.
const wildcard = "*"

// Role is a set of permissions with bounds. Several roles of a caller add up.
type Role struct {
	Name          RoleName
	Tenants       []admission.TenantID // beside the identity's own
	Classes       []admission.Class
	CanRead       bool
	CanWrite      bool
	RatePerSecond float64 // requests a second of one identity; 0: no bound
	Burst         float64 // requests at once, 1 or more where there is a rate
	MaxInFlight   int     // requests of one identity at a time; 0: no bound
}

func (r *Role) allowsTenant(tenant admission.TenantID) bool {
	return slices.Contains(r.Tenants, tenant) || slices.Contains(r.Tenants, wildcard)
}

func (r *Role) allowsClass(class admission.Class) bool {
	return slices.Contains(r.Classes, class) || slices.Contains(r.Classes, wildcard)
}

// unlimited tells whether the role has neither a rate nor a bound on requests in flight.
func (r *Role) unlimited() bool {
	return r.RatePerSecond <= 0 && r.MaxInFlight <= 0
}

// Binding maps identities to a tenant and roles.
type Binding struct {
	Name     string
	Patterns []string // identities; a * at the end stands for any rest
	Tenant   admission.TenantID
	Roles    []RoleName
}
