// Package authz decides which requests a caller may make, at which rate and how many at a time. It does no I/O and
// takes the current time as an argument. A Policy is immutable and holds the permissions; a RateLimiter counts the
// requests of each identity.
package authz

import (
	"fmt"
	"slices"
	"strings"

	"lanewheel/admission"
)

// Principal is a caller with its identity and its permissions under the Policy that resolved it.
type Principal struct {
	Identity Identity // empty: anonymous
	tenant   admission.TenantID
	roles    []*Role
}

// Claims are the tenant and the roles that a token claims for its subject. The zero value claims neither.
type Claims struct {
	Tenant admission.TenantID
	Roles  []RoleName
}

// Request is a request for which a caller needs permission.
type Request struct {
	Class  admission.Class
	Tenant admission.TenantID // empty: the identity's own tenant
	Write  bool               // whether the request declares itself a write
}

// Grant is the permission of a principal for one request.
type Grant struct {
	Tenant admission.TenantID // the tenant of the request
	Roles  []*Role            // the roles that allow the request, in the principal's order
}

// Policy holds the permissions of all callers. It is immutable and may be used from any goroutine.
type Policy struct {
	roles        map[RoleName]*Role
	bindings     []Binding
	exact        map[Identity]int // index of a binding, by pattern; only patterns without a wildcard
	prefixes     []prefixPattern  // in order of decreasing length
	writeClasses map[admission.Class]bool
	anonymous    []*Role // roles of anonymous callers
}

// prefixPattern is a pattern that ends in a wildcard.
type prefixPattern struct {
	text    string // the pattern without the wildcard
	binding int    // index of its binding
}

// NewPolicy returns a policy, or an error that describes the first fault in its arguments. Requests of writeClasses
// count as writes even if they declare themselves reads. anonymous are the roles of callers without an identity.
func NewPolicy(
	roles []Role, bindings []Binding, writeClasses []admission.Class, anonymous []RoleName,
) (*Policy, error) {
	policy := &Policy{
		roles:        map[RoleName]*Role{},
		bindings:     bindings,
		exact:        map[Identity]int{},
		writeClasses: map[admission.Class]bool{},
	}
	for i := range roles {
		if policy.roles[roles[i].Name] != nil {
			return nil, fmt.Errorf("role %q is defined twice", roles[i].Name)
		}
		policy.roles[roles[i].Name] = &roles[i]
	}
	for i := range bindings {
		if err := policy.addBinding(i); err != nil {
			return nil, err
		}
	}
	// findBinding takes the first prefix that matches; the longest one is the most specific.
	slices.SortStableFunc(policy.prefixes, func(x, y prefixPattern) int { return len(y.text) - len(x.text) })
	for _, class := range writeClasses {
		policy.writeClasses[class] = true
	}
	for _, name := range anonymous {
		if policy.roles[name] == nil {
			return nil, fmt.Errorf("callers without an identity: role %q is not defined", name)
		}
		policy.anonymous = append(policy.anonymous, policy.roles[name])
	}
	return policy, nil
}

// addBinding checks a binding and indexes its patterns.
func (p *Policy) addBinding(index int) error {
	binding := p.bindings[index]
	for _, name := range binding.Roles {
		if p.roles[name] == nil {
			return fmt.Errorf("caller %q: role %q is not defined", binding.Name, name)
		}
	}
	for _, pattern := range binding.Patterns {
		kind, name, hasKind := strings.Cut(pattern, ":")
		if !hasKind || name == "" || !IdentityKind(kind).valid() {
			return fmt.Errorf("caller %q: pattern %q must be uri:, dns:, subject: or token:, followed by a name",
				binding.Name, pattern)
		}
		if !p.addPattern(pattern, index) {
			return fmt.Errorf("caller %q: pattern %q is used twice", binding.Name, pattern)
		}
	}
	return nil
}

// addPattern adds a pattern to the index and reports whether the pattern is new.
func (p *Policy) addPattern(pattern string, binding int) bool {
	text, isPrefix := strings.CutSuffix(pattern, wildcard)
	if isPrefix {
		if slices.ContainsFunc(p.prefixes, func(other prefixPattern) bool { return other.text == text }) {
			return false
		}
		p.prefixes = append(p.prefixes, prefixPattern{text, binding})
		return true
	}
	if _, duplicate := p.exact[Identity(pattern)]; duplicate {
		return false
	}
	p.exact[Identity(pattern)] = binding
	return true
}

// Anonymous returns the principal of callers without an identity, or a denial if they have no role.
func (p *Policy) Anonymous() (Principal, Denial) {
	if len(p.anonymous) == 0 {
		return Principal{}, noIdentity
	}
	return Principal{roles: p.anonymous}, ""
}

// Resolve returns the principal of a caller, or a denial. identities are all identities that the caller has proven.
// The first one that a binding matches exactly is used, or else the first one that a binding matches by a prefix. A
// binding takes precedence over the claims. Without a binding, tenant and roles are taken from the claims, and roles
// that the policy does not define are ignored.
func (p *Policy) Resolve(identities []Identity, claims Claims) (Principal, Denial) {
	if len(identities) == 0 {
		return Principal{}, noIdentity
	}
	if binding, identity := p.findBinding(identities); binding != nil {
		principal := Principal{Identity: identity, tenant: binding.Tenant}
		for _, name := range binding.Roles {
			principal.roles = append(principal.roles, p.roles[name])
		}
		return principal, ""
	}
	principal := Principal{Identity: identities[0], tenant: claims.Tenant}
	for _, name := range claims.Roles {
		if role := p.roles[name]; role != nil && !slices.Contains(principal.roles, role) {
			principal.roles = append(principal.roles, role)
		}
	}
	if len(principal.roles) == 0 {
		return principal, unmapped
	}
	return principal, ""
}

// findBinding returns the binding of a caller and the identity that it matches, or nil if no binding matches.
func (p *Policy) findBinding(identities []Identity) (*Binding, Identity) {
	for _, identity := range identities {
		if index, found := p.exact[identity]; found {
			return &p.bindings[index], identity
		}
	}
	for _, identity := range identities {
		for _, candidate := range p.prefixes {
			if strings.HasPrefix(string(identity), candidate.text) {
				return &p.bindings[candidate.binding], identity
			}
		}
	}
	return nil, ""
}

// Authorize returns the grant for a principal's request, or a denial. Each role is checked for the tenant, then for
// the class, then for read or write access; the denial is that of the role that passed the most checks. A request of
// one of the policy's write classes counts as a write even if it declares itself a read.
func (p *Policy) Authorize(principal *Principal, request Request) (Grant, Denial) {
	write := request.Write || p.writeClasses[request.Class]
	grant := Grant{Tenant: request.Tenant}
	if grant.Tenant == "" {
		grant.Tenant = principal.tenant
	}
	denial := wrongTenant
	for _, role := range principal.roles {
		if grant.Tenant != principal.tenant && !role.allowsTenant(grant.Tenant) {
			continue
		}
		if denial == wrongTenant {
			denial = wrongClass
		}
		if !role.allowsClass(request.Class) {
			continue
		}
		switch {
		case write && role.CanWrite, !write && role.CanRead:
			grant.Roles = append(grant.Roles, role)
		case write:
			denial = noWriteAccess
		default:
			denial = noReadAccess
		}
	}
	if len(grant.Roles) > 0 {
		denial = ""
	}
	return grant, denial
}
