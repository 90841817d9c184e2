// Package authz decides who may do what, how often and how much at once. It does no I/O, and the time is an argument.
// A Policy says who may do what and never changes; a RateLimiter counts what identities use.
package authz

import (
	"fmt"
	"slices"
	"strings"

	"lanewheel/admission"
)

// Principal is a caller whose identity is known, with the permissions of the Policy that resolved it.
type Principal struct {
	Identity Identity // empty: anonymous
	tenant   admission.TenantID
	roles    []*Role
}

// Claims are what a token says of its subject's tenant and roles. The zero value says nothing.
type Claims struct {
	Tenant admission.TenantID
	Roles  []RoleName
}

// Request is what a caller wants to do.
type Request struct {
	Class  admission.Class
	Tenant admission.TenantID // empty: the identity's own
	Write  bool               // as the request says of itself
}

// Grant is what a principal may do a request by.
type Grant struct {
	Tenant admission.TenantID
	Roles  []*Role // those that allow it, in the principal's order
}

// Policy is who may do what. It never changes, and may be used from any goroutine.
type Policy struct {
	roles        map[RoleName]*Role
	bindings     []Binding
	exact        map[Identity]int // index of the binding that names it whole
	prefixes     []prefix         // the longest first
	writeClasses map[admission.Class]bool
	anonymous    []*Role
}

// prefix is a pattern that ends in a wildcard, without it.
type prefix struct {
	text    string
	binding int // index
}

// NewPolicy makes a policy, or says what is wrong with it. writeClasses are those whose requests are writes whatever
// they say of themselves; anonymous are the roles of callers without an identity.
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
			return nil, fmt.Errorf("role %q stands twice", roles[i].Name)
		}
		policy.roles[roles[i].Name] = &roles[i]
	}
	for i := range bindings {
		if err := policy.addBinding(i); err != nil {
			return nil, err
		}
	}
	// Of two prefixes that match, the longer one says more of whom it means.
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

// addBinding checks a binding and indexes its patterns.
func (p *Policy) addBinding(index int) error {
	binding := p.bindings[index]
	for _, name := range binding.Roles {
		if p.roles[name] == nil {
			return fmt.Errorf("caller %q: there is no role %q", binding.Name, name)
		}
	}
	for _, pattern := range binding.Patterns {
		kind, name, hasKind := strings.Cut(pattern, ":")
		if !hasKind || name == "" || !IdentityKind(kind).known() {
			return fmt.Errorf("caller %q: %q must begin with uri:, dns:, subject: or token:, and go on", binding.Name, pattern)
		}
		if !p.addPattern(pattern, index) {
			return fmt.Errorf("caller %q: %q is another caller's too", binding.Name, pattern)
		}
	}
	return nil
}

// addPattern indexes a pattern, and tells whether no other binding has it.
func (p *Policy) addPattern(pattern string, binding int) bool {
	text, isPrefix := strings.CutSuffix(pattern, wildcard)
	if isPrefix {
		if slices.ContainsFunc(p.prefixes, func(other prefix) bool { return other.text == text }) {
			return false
		}
		p.prefixes = append(p.prefixes, prefix{text, binding})
		return true
	}
	if _, duplicate := p.exact[Identity(pattern)]; duplicate {
		return false
	}
	p.exact[Identity(pattern)] = binding
	return true
}

// Anonymous gives the caller that has proven nothing, or why it may do nothing.
func (p *Policy) Anonymous() (Principal, Denial) {
	if len(p.anonymous) == 0 {
		return Principal{}, noIdentity
	}
	return Principal{roles: p.anonymous}, ""
}

// Resolve gives the principal of a caller. identities are all that it has proven to be: the first that a binding names
// whole counts, else the first that one has a prefix of. A binding goes before the claims; without one, the claims give
// tenant and roles, and roles that the policy does not have give no permissions.
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

// findBinding gives the binding that counts for a caller, and the identity that it matches; nil if there is none.
func (p *Policy) findBinding(identities []Identity) (*Binding, Identity) {
	for _, identity := range identities {
		if index, known := p.exact[identity]; known {
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

// Authorize gives what a principal may do a request by, or why it may not: the denial of the role that came closest,
// where the tenant is looked at first, then the class, then whether it reads or writes. A request of a class that is
// listed as a write is one even if it says of itself that it reads.
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
