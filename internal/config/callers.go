package config

import (
	"slices"
	"strings"

	"lanewheel/admission"
	"lanewheel/internal/authz"
)

// Callers is who may do what. It is on if the file has any section that speaks of callers.
type Callers struct {
	Enabled        bool
	anonymousRoles []authz.RoleName  // of callers that prove nothing
	writeClasses   []admission.Class // what changes something, whatever a request says of itself
	MaxRateEntries int               // identities whose rates and counts are kept, by role
	Roles          []authz.Role
	Bindings       []authz.Binding
	Policy         *authz.Policy
}

// readCallers reads [callers], and each [role NAME] and [caller NAME].
func (r *reader) readCallers() Callers {
	callers := Callers{MaxRateEntries: 10_000} // some times the devices that one instance sees
	s := r.section("callers")
	callers.Enabled = s.exists()
	callers.anonymousRoles = namesOf[authz.RoleName](s.listValue("anonymous-roles"))
	callers.writeClasses = namesOf[admission.Class](s.listValue("write-classes"))
	s.intValue("max-rate-entries", &callers.MaxRateEntries, 16, 1_000_000)
	s.reportUnknownNames()
	knownRoles := map[string]bool{}
	for _, s := range r.sectionsOfKind("role") {
		callers.Enabled = true
		callers.Roles = append(callers.Roles, s.readRole())
		knownRoles[s.label()] = true
	}
	s.checkRoles("anonymous-roles", callers.anonymousRoles, knownRoles)
	r.readBindings(&callers, knownRoles)
	if len(r.diagnostics) > 0 {
		return callers
	}
	var err error
	callers.Policy, err = authz.NewPolicy(callers.Roles, callers.Bindings, callers.writeClasses, callers.anonymousRoles)
	if err != nil {
		r.report("callers", "", "", err.Error())
	}
	return callers
}

// readBindings reads each [caller NAME]. Two may not match by the same pattern.
func (r *reader) readBindings(callers *Callers, knownRoles map[string]bool) {
	boundPatterns := map[string]string{}
	for _, s := range r.sectionsOfKind("caller") {
		callers.Enabled = true
		binding := s.readBinding()
		s.checkRoles("roles", binding.Roles, knownRoles)
		for _, pattern := range binding.Patterns {
			if otherBinding, duplicate := boundPatterns[pattern]; duplicate {
				s.report("match", pattern, "is matched by caller "+otherBinding+" already")
			}
			boundPatterns[pattern] = binding.Name
		}
		callers.Bindings = append(callers.Bindings, binding)
	}
}

func (s *section) checkRoles(name string, roles []authz.RoleName, known map[string]bool) {
	for _, role := range roles {
		if !known[string(role)] {
			s.report(name, string(role), "is no role of this file; wants one of "+joinSorted(known))
		}
	}
}

func (s *section) readRole() authz.Role {
	role := authz.Role{Name: authz.RoleName(s.label())}
	role.Tenants = namesOf[admission.TenantID](s.listValue("tenants"))
	role.Classes = namesOf[admission.Class](s.listValue("classes"))
	if len(role.Classes) == 0 {
		s.report("classes", "", "wants classes with commas between, or * for all")
	}
	for _, permission := range s.listValue("permissions") {
		switch permission {
		case "read":
			role.CanRead = true
		case "write":
			role.CanWrite = true
		default:
			s.report("permissions", permission, "wants read, write or both")
		}
	}
	if !role.CanRead && !role.CanWrite {
		s.report("permissions", "", "wants read, write or both")
	}
	s.floatValue("rate", &role.RatePerSecond, 0, 1e6)
	role.Burst = max(1, role.RatePerSecond) // a second's worth
	s.floatValue("burst", &role.Burst, 1, 1e6)
	s.intValue("max-in-flight", &role.MaxInFlight, 0, 1_000_000)
	s.reportUnknownNames()
	return role
}

func (s *section) readBinding() authz.Binding {
	binding := authz.Binding{Name: s.label(), Patterns: s.listValue("match")}
	if len(binding.Patterns) == 0 {
		s.report("match", "", "wants identities, as uri:rota://water/* or token:depot-7")
	}
	for _, pattern := range binding.Patterns {
		if !isIdentity(pattern) {
			s.report("match", pattern, "wants uri:, dns:, subject: or token: in front")
		}
	}
	var tenant string
	s.stringValue("tenant", &tenant)
	binding.Tenant = admission.TenantID(tenant)
	binding.Roles = namesOf[authz.RoleName](s.listValue("roles"))
	if len(binding.Roles) == 0 {
		s.report("roles", "", "wants roles with commas between")
	}
	s.reportUnknownNames()
	return binding
}

// isIdentity tells whether a text has the form of an identity, or of a pattern of identities: a kind, and what it is
// called.
func isIdentity(text string) bool {
	kind, rest, _ := strings.Cut(text, ":")
	return rest != "" && slices.Contains([]string{"uri", "dns", "subject", "token"}, kind)
}

// namesOf gives texts the type of the names that they are; none stays nil.
func namesOf[T ~string](texts []string) []T {
	var names []T
	for _, text := range texts {
		names = append(names, T(text))
	}
	return names
}
