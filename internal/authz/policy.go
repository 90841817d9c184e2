// Package authz decides who may do what, how often and how much at once. It is pure: values in, values out; the time is
// an argument. A Book says who may; it never changes once it is made. A Gate keeps the rates and counts.
package authz

import (
	"fmt"
	"slices"
	"strings"

	"lanewheel/admission"
)

// Principal is a caller whose identity is known, with the rights of the Book that made it.
type Principal struct {
	Identity Identity
	tenant   admission.TenantID
	roles    []*Role
}

// Request is what an op wants to do.
type Request struct {
	Class  admission.Class
	Tenant admission.TenantID // empty where it claims none
	Write  bool               // by the op's own account
}

// Policy is who may do what.
type Policy struct {
	roles        map[RoleName]*Role
	bindings     []Binding
	exact        map[Identity]int // the caller that names it whole
	prefixes     []prefix         // the longest first
	writeClasses map[admission.Class]bool
	anonymous    []*Role
}

type prefix struct {
	text    string
	binding int
}

// NewPolicy makes a book, or tells what is wrong with it. writes are the op types that change something whatever an op says of
// itself; anonymous are the roles of callers without an identity.
func NewPolicy(roles []Role, bindings []Binding, writeClasses []admission.Class, anonymous []RoleName) (*Policy, error) {
	policy := &Policy{roles: map[RoleName]*Role{}, bindings: bindings, exact: map[Identity]int{}, writeClasses: map[admission.Class]bool{}}
	for i := range roles {
		if policy.roles[roles[i].Name] != nil {
			return nil, fmt.Errorf("role %q stands twice", roles[i].Name)
		}
		policy.roles[roles[i].Name] = &roles[i]
	}
	for i, binding := range bindings {
		for _, name := range binding.Roles {
			if policy.roles[name] == nil {
				return nil, fmt.Errorf("caller %q: there is no role %q", binding.Name, name)
			}
		}
		for _, pattern := range binding.Patterns {
			if kind, value, ok := strings.Cut(pattern, ":"); !ok || value == "" ||
				!slices.Contains([]string{"uri", "dns", "subject", "token"}, kind) {
				return nil, fmt.Errorf("caller %q: %q must begin with uri:, dns:, subject: or token:, and go on", binding.Name, pattern)
			}
			if beginning, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
				if slices.ContainsFunc(policy.prefixes, func(s prefix) bool { return s.text == beginning }) {
					return nil, fmt.Errorf("caller %q: %q is another caller's too", binding.Name, pattern)
				}
				policy.prefixes = append(policy.prefixes, prefix{beginning, i})
				continue
			}
			if _, duplicate := policy.exact[Identity(pattern)]; duplicate {
				return nil, fmt.Errorf("caller %q: %q is another caller's too", binding.Name, pattern)
			}
			policy.exact[Identity(pattern)] = i
		}
	}
	// The longest start says most of whom it means.
	slices.SortStableFunc(policy.prefixes, func(x, y prefix) int { return len(y.text) - len(x.text) })
	for _, class := range writeClasses {
		policy.writeClasses[class] = true
	}
	for _, name := range anonymous {
		if policy.roles[name] == nil {
			return nil, fmt.Errorf("callers without an identity: there is no role %q", name)
		}
		policy.anonymous = append(policy.anonymous, policy.roles[name])
	}
	return policy, nil
}

// Anonymous is the caller that proved nothing.
func (b *Policy) Anonymous() (Principal, Denial) {
	if len(b.anonymous) == 0 {
		return Principal{}, noIdentity
	}
	return Principal{roles: b.anonymous}, ""
}

// Resolve maps an identity. names are all that the caller proved to be, the first that the book knows counts, and a whole name
// before a start. tenant and roles are what a token says beside that, if it says so; then no caller has to be in the book,
// and what the book says of one goes before. Roles that the book does not know give no rights.
func (b *Policy) Resolve(identities []Identity, tenant admission.TenantID, roles []RoleName) (Principal, Denial) {
	if len(identities) == 0 {
		return Principal{}, noIdentity
	}
	if i, identity := b.findBinding(identities); i >= 0 {
		binding := b.bindings[i]
		principal := Principal{Identity: identity, tenant: binding.Tenant}
		for _, roleName := range binding.Roles {
			principal.roles = append(principal.roles, b.roles[roleName])
		}
		return principal, ""
	}
	principal := Principal{Identity: identities[0], tenant: tenant}
	for _, roleName := range roles {
		if role := b.roles[roleName]; role != nil && !slices.Contains(principal.roles, role) {
			principal.roles = append(principal.roles, role)
		}
	}
	if len(principal.roles) == 0 {
		return principal, unmapped
	}
	return principal, ""
}

func (b *Policy) findBinding(identities []Identity) (int, Identity) {
	for _, identity := range identities {
		if i, known := b.exact[identity]; known {
			return i, identity
		}
	}
	for _, identity := range identities {
		for _, candidate := range b.prefixes {
			if strings.HasPrefix(string(identity), candidate.text) {
				return candidate.binding, identity
			}
		}
	}
	return -1, ""
}

// Authorize tells whether a caller may do what it asks, by which of its roles, and for which tenant.
// Danger: a write that says of itself that it is a read. What the file lists as writes is one whatever the op says.
func (b *Policy) Authorize(principal *Principal, request Request) (roles []*Role, tenant admission.TenantID, denial Denial) {
	write := request.Write || b.writeClasses[request.Class]
	tenant = request.Tenant
	if tenant == "" {
		tenant = principal.tenant
	}
	denial = wrongTenant
	for _, role := range principal.roles {
		if tenant != principal.tenant && !role.allowsTenant(tenant) {
			continue
		}
		if denial == wrongTenant {
			denial = wrongClass
		}
		if !role.allowsClass(request.Class) {
			continue
		}
		if write && role.CanWrite || !write && role.CanRead {
			roles = append(roles, role)
		} else if write {
			denial = noWriteAccess
		} else {
			denial = noReadAccess
		}
	}
	if len(roles) > 0 {
		denial = ""
	}
	return roles, tenant, denial
}
