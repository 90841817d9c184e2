package authz

import (
	"slices"

	"lanewheel/admission"
)

// RoleName is the name of a role.
type RoleName string

// wildcard stands in a list for all there are.
const wildcard = "*"

// Role is a set of rights. Several roles add up.
type Role struct {
	Name          RoleName
	Tenants       []admission.TenantID // beside the identity's own
	Classes       []admission.Class
	CanRead       bool
	CanWrite      bool
	RatePerSecond float64 // ops a second of one identity; 0 is no bound
	Burst         float64 // ops that may come at once, 1 or more where there is a rate
	MaxInFlight   int     // ops of one identity in hand at a time; 0 is no bound
}

func (r *Role) allowsTenant(tenant admission.TenantID) bool {
	return slices.Contains(r.Tenants, tenant) || slices.Contains(r.Tenants, wildcard)
}

func (r *Role) allowsClass(class admission.Class) bool {
	return slices.Contains(r.Classes, class) || slices.Contains(r.Classes, wildcard)
}

// Binding maps identities to a tenant and roles.
type Binding struct {
	Name     string
	Patterns []string // names of identities; a * at the end stands for any rest
	Tenant   admission.TenantID
	Roles    []RoleName
}
