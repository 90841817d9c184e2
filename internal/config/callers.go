package config

import (
	"net"
	"path/filepath"
	"strings"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
)

// readCallers reads [callers], and each [role NAME] and [caller NAME].
func (r *reader) readCallers() Callers {
	callers := Callers{MaxRateEntries: 10_000} // some times the devices that one instance sees
	s := r.section("callers")
	callers.Enabled = s.exists()
	for _, name := range s.listValue("anonymous") {
		callers.anonymousRoles = append(callers.anonymousRoles, authz.RoleName(name))
	}
	for _, name := range s.listValue("writes") {
		callers.writeClasses = append(callers.writeClasses, admission.Class(name))
	}
	s.intValue("entries", &callers.MaxRateEntries, 16, 1_000_000)
	s.reportUnknownNames()
	knownRoles := map[string]bool{}
	for _, s := range r.sectionsOfKind("role") {
		callers.Enabled = true
		callers.Roles = append(callers.Roles, s.readRole())
		knownRoles[s.label()] = true
	}
	checkRoles := func(s *section, name string, roles []authz.RoleName) {
		for _, role := range roles {
			if !knownRoles[string(role)] {
				s.report(name, string(role), "is no role of this file; wants one of "+joinSorted(knownRoles))
			}
		}
	}
	checkRoles(s, "anonymous", callers.anonymousRoles)
	boundPatterns := map[string]string{}
	for _, s := range r.sectionsOfKind("caller") {
		callers.Enabled = true
		binding := s.readBinding()
		checkRoles(s, "roles", binding.Roles)
		for _, pattern := range binding.Patterns {
			if otherBinding, duplicate := boundPatterns[pattern]; duplicate {
				s.report("match", pattern, "is matched by caller "+otherBinding+" already")
			}
			boundPatterns[pattern] = binding.Name
		}
		callers.Bindings = append(callers.Bindings, binding)
	}
	if len(r.diagnostics) == 0 {
		var err error
		if callers.Policy, err = authz.NewPolicy(callers.Roles, callers.Bindings, callers.writeClasses, callers.anonymousRoles); err != nil {
			r.report("callers", "", "", err.Error())
		}
	}
	return callers
}

func (s *section) readRole() authz.Role {
	role := authz.Role{Name: authz.RoleName(s.label())}
	for _, name := range s.listValue("tenants") {
		role.Tenants = append(role.Tenants, admission.TenantID(name))
	}
	for _, name := range s.listValue("types") {
		role.Classes = append(role.Classes, admission.Class(name))
	}
	if len(role.Classes) == 0 {
		s.report("types", "", "wants op types with commas between, or * for all")
	}
	for _, permission := range s.listValue("may") {
		switch permission {
		case "read":
			role.CanRead = true
		case "write":
			role.CanWrite = true
		default:
			s.report("may", permission, "wants read, write or both")
		}
	}
	if !role.CanRead && !role.CanWrite {
		s.report("may", "", "wants read, write or both")
	}
	s.floatValue("rate", &role.RatePerSecond, 0, 1e6)
	role.Burst = max(1, role.RatePerSecond) // a second's worth
	s.floatValue("burst", &role.Burst, 1, 1e6)
	s.intValue("open", &role.MaxInFlight, 0, 1_000_000)
	s.reportUnknownNames()
	return role
}

func (s *section) readBinding() authz.Binding {
	binding := authz.Binding{Name: s.label(), Patterns: s.listValue("match")}
	if len(binding.Patterns) == 0 {
		s.report("match", "", "wants identities, as uri:rota://water/* or token:depot-7")
	}
	for _, pattern := range binding.Patterns {
		kind, rest, _ := strings.Cut(pattern, ":")
		if rest == "" || kind != "uri" && kind != "dns" && kind != "subject" && kind != "token" {
			s.report("match", pattern, "wants uri:, dns:, subject: or token: in front")
		}
	}
	var tenant string
	s.stringValue("tenant", &tenant)
	binding.Tenant = admission.TenantID(tenant)
	for _, name := range s.listValue("roles") {
		binding.Roles = append(binding.Roles, authz.RoleName(name))
	}
	if len(binding.Roles) == 0 {
		s.report("roles", "", "wants roles with commas between")
	}
	s.reportUnknownNames()
	return binding
}

// pathValue reads the path of a file or folder; one that does not begin at the root counts from where the operator's file is.
func (s *section) pathValue(name string, target *string) {
	s.stringValue(name, target)
	if *target != "" && !filepath.IsAbs(*target) {
		*target = filepath.Join(filepath.Dir(s.reader.file), *target)
	}
}

// requiredPath is a path that has to be told once its section is there.
func (s *section) requiredPath(name string, target *string) {
	if s.pathValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "wants a path")
	}
}

func (r *reader) readTokens() Tokens {
	var parsed Tokens
	s := r.section("tokens")
	parsed.Enabled = s.exists()
	s.requiredPath("keys", &parsed.KeyDir)
	s.requiredString("issuer", &parsed.Policy.Issuer)
	s.requiredString("audience", &parsed.Policy.Audience)
	parsed.Policy.Leeway = 30 * time.Second // devices set their clocks by the network now and then
	s.durationValue("leeway", &parsed.Policy.Leeway, 0, time.Hour)
	parsed.Policy.MaxBytes = 2048 // bytes: an RSA signature and a page of claims
	s.intValue("longest", &parsed.Policy.MaxBytes, 64, 4096)
	s.stringValue("tenant-claim", &parsed.Policy.TenantClaim)
	s.stringValue("roles-claim", &parsed.Policy.RolesClaim)
	s.pathValue("revoked", &parsed.RevocationFile)
	s.boolValue("single-use", &parsed.Policy.SingleUse)
	parsed.Limits.MaxSingleUseIDs = 65_536 // ids: some minutes of a busy instance
	s.intValue("single-use-remembered", &parsed.Limits.MaxSingleUseIDs, 1, 10_000_000)
	parsed.Limits.MaxCached = 8_192 // half a kilobyte each
	s.intValue("remembered", &parsed.Limits.MaxCached, 16, 1_000_000)
	parsed.Limits.MaxWaiting = 256 // as many ops as are checked in some tens of milliseconds
	s.intValue("waiting", &parsed.Limits.MaxWaiting, 1, 4096)
	parsed.Limits.CPUFraction = 0.1 // of a core: some hundred checks a second
	s.floatValue("share", &parsed.Limits.CPUFraction, 0.001, 1)
	parsed.Limits.KeyReloadInterval = time.Second
	s.durationValue("look-every", &parsed.Limits.KeyReloadInterval, 10*time.Millisecond, time.Hour)
	s.reportUnknownNames()
	return parsed
}

func (r *reader) readTLS() TLS {
	parsed := TLS{MinVersion: "1.3"}
	s := r.section("tls")
	parsed.Enabled = s.exists()
	if s.requiredString("listen", &parsed.ListenAddress); parsed.ListenAddress != "" {
		if _, _, err := net.SplitHostPort(parsed.ListenAddress); err != nil {
			s.report("listen", parsed.ListenAddress, "wants an address and a port, as 127.0.0.1:9443")
		}
	}
	s.requiredPath("certificate", &parsed.CertificateFile)
	s.requiredPath("key", &parsed.KeyFile)
	s.pathValue("authorities", &parsed.AuthoritiesFile)
	s.pathValue("revoked", &parsed.RevocationFile)
	if parsed.RevocationFile != "" && parsed.AuthoritiesFile == "" {
		s.report("revoked", parsed.RevocationFile, "wants authorities, which sign it")
	}
	parsed.RevocationGrace = time.Hour
	s.durationValue("revoked-grace", &parsed.RevocationGrace, 0, 30*24*time.Hour)
	staleList := "deny"
	s.enumValue("stale-list", &staleList, "deny", "allow")
	parsed.AllowStaleRevocations = staleList == "allow"
	clientCertificates := "required"
	s.enumValue("clients", &clientCertificates, "required", "asked")
	parsed.RequireClientCertificate = clientCertificates == "required"
	if parsed.RequireClientCertificate && parsed.AuthoritiesFile == "" && s.exists() {
		s.report("authorities", "", "wants a path, as clients is required")
	}
	s.enumValue("oldest", &parsed.MinVersion, "1.3", "1.2")
	parsed.MaxHandshakes = 64 // at a time: a megabyte or two of their state
	s.intValue("handshakes", &parsed.MaxHandshakes, 1, 10_000)
	parsed.HandshakeRate = 200 // a second: about a tenth of a core
	s.floatValue("handshake-rate", &parsed.HandshakeRate, 0.1, 100_000)
	s.reportUnknownNames()
	return parsed
}
