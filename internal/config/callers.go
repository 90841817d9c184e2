package config

import (
	"slices"
	"strings"

	"lanewheel/admission"
	"lanewheel/internal/authz"
)

// Callers configures the authorization of callers. It is enabled if the file has a section [callers], [role NAME],
// [caller NAME], [tokens] or [tls].
type Callers struct {
	Enabled        bool
	anonymousRoles []authz.RoleName  // the roles of callers without a proven identity
	writeClasses   []admission.Class // the classes of requests that always count as writes, even if declared as reads
	MaxRateEntries int               // the maximum number of pairs of identity and role whose rates and counts are kept
	Roles          []authz.Role
	Bindings       []authz.Binding
	Policy         *authz.Policy
}

// readCallers reads [callers], each [role NAME] and each [caller NAME].
func (r *reader) readCallers() Callers {
	callers := Callers{MaxRateEntries: 10_000} // several times the number of devices that use one instance
	s := r.section("callers")
	callers.Enabled = s.exists()
	callers.anonymousRoles = namesOf[authz.RoleName](s.listValue("anonymous-roles"))
	callers.writeClasses = namesOf[admission.Class](s.listValue("write-classes"))
	s.intValue("max-rate-entries", &callers.MaxRateEntries, 16, 1_000_000)
	s.reportUnknownNames()
	definedRoles := map[string]bool{}
	for _, s := range r.sectionsOfKind("role") {
		callers.Enabled = true
		callers.Roles = append(callers.Roles, s.readRole())
		definedRoles[s.label()] = true
	}
	s.checkRoles("anonymous-roles", callers.anonymousRoles, definedRoles)
	r.readBindings(&callers, definedRoles)
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

// readBindings reads each [caller NAME]. Each pattern must appear only once in all of them.
func (r *reader) readBindings(callers *Callers, definedRoles map[string]bool) {
	boundPatterns := map[string]string{}
	for _, s := range r.sectionsOfKind("caller") {
		callers.Enabled = true
		binding := s.readBinding()
		s.checkRoles("roles", binding.Roles, definedRoles)
		for _, pattern := range binding.Patterns {
			if otherBinding, duplicate := boundPatterns[pattern]; duplicate {
				s.report("match", pattern, "must appear only once, but already appears in caller "+otherBinding)
			}
			boundPatterns[pattern] = binding.Name
		}
		callers.Bindings = append(callers.Bindings, binding)
	}
}

// checkRoles reports each role that no section [role NAME] defines.
func (s *section) checkRoles(name string, roles []authz.RoleName, definedRoles map[string]bool) {
	for _, role := range roles {
		if !definedRoles[string(role)] {
			s.report(name, string(role), "must be defined by a section [role NAME]; defined roles: "+joinSorted(definedRoles))
		}
	}
}

func (s *section) readRole() authz.Role {
	role := authz.Role{Name: authz.RoleName(s.label())}
	role.Tenants = namesOf[admission.TenantID](s.listValue("tenants"))
	role.Classes = namesOf[admission.Class](s.listValue("classes"))
	if len(role.Classes) == 0 {
		s.report("classes", "", "must be a comma-separated list of classes, or * for all")
	}
	for _, permission := range s.listValue("permissions") {
		switch permission {
		case "read":
			role.CanRead = true
		case "write":
			role.CanWrite = true
		default:
			s.report("permissions", permission, "must be one of read, write")
		}
	}
	if !role.CanRead && !role.CanWrite {
		s.report("permissions", "", "must be a comma-separated list of at least one of read, write")
	}
	s.floatValue("rate", &role.RatePerSecond, 0, 1e6)
	role.Burst = max(1, role.RatePerSecond) // the requests of one second
	s.floatValue("burst", &role.Burst, 1, 1e6)
	s.intValue("max-in-flight", &role.MaxInFlight, 0, 1_000_000)
	s.reportUnknownNames()
	return role
}

func (s *section) readBinding() authz.Binding {
	binding := authz.Binding{Name: s.label(), Patterns: s.listValue("match")}
	if len(binding.Patterns) == 0 {
		s.report("match", "", "must be a comma-separated list of identities, for example uri:rota://water/*, token:depot-7")
	}
	for _, pattern := range binding.Patterns {
		if !isIdentity(pattern) {
			s.report("match", pattern, "must be uri:, dns:, subject: or token: followed by a name")
		}
	}
	var tenant string
	s.stringValue("tenant", &tenant)
	binding.Tenant = admission.TenantID(tenant)
	binding.Roles = namesOf[authz.RoleName](s.listValue("roles"))
	if len(binding.Roles) == 0 {
		s.report("roles", "", "must be a comma-separated list of roles")
	}
	s.reportUnknownNames()
	return binding
}

// isIdentity reports whether a text has the form of an identity or of a pattern for identities: a kind, a colon and a
// name.
func isIdentity(text string) bool {
	kind, rest, _ := strings.Cut(text, ":")
	return rest != "" && slices.Contains([]string{"uri", "dns", "subject", "token"}, kind)
}

// namesOf converts texts to names of type T. It returns nil if there are none.
func namesOf[T ~string](texts []string) []T {
	var names []T
	for _, text := range texts {
		names = append(names, T(text))
	}
	return names
}
