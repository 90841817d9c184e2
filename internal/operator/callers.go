package operator

import (
	"net"
	"path/filepath"
	"strings"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/rights"
)

// callers reads [callers], and each [role NAME] and [caller NAME].
func (r *reader) callers() Callers {
	c := Callers{Entries: 10_000} // some times the devices that one instance sees
	s := r.section("callers")
	c.On = s.given()
	for _, name := range s.list("anonymous") {
		c.Anonymous = append(c.Anonymous, rights.RoleName(name))
	}
	for _, name := range s.list("writes") {
		c.Writes = append(c.Writes, choice.Class(name))
	}
	s.count("entries", &c.Entries, 16, 1_000_000)
	s.close()
	known := map[string]bool{}
	for _, s := range r.named("role") {
		c.On = true
		c.Roles = append(c.Roles, s.role())
		known[s.title()] = true
	}
	hasRoles := func(s *section, name string, roles []rights.RoleName) {
		for _, role := range roles {
			if !known[string(role)] {
				s.wrong(name, string(role), "is no role of this file; wants one of "+words(known))
			}
		}
	}
	hasRoles(s, "anonymous", c.Anonymous)
	matched := map[string]string{}
	for _, s := range r.named("caller") {
		c.On = true
		caller := s.caller()
		hasRoles(s, "roles", caller.Roles)
		for _, match := range caller.Match {
			if before, twice := matched[match]; twice {
				s.wrong("match", match, "is matched by caller "+before+" already")
			}
			matched[match] = caller.Title
		}
		c.Map = append(c.Map, caller)
	}
	if len(r.faults) == 0 {
		var err error
		if c.Book, err = rights.NewBook(c.Roles, c.Map, c.Writes, c.Anonymous); err != nil {
			r.wrong("callers", "", "", err.Error())
		}
	}
	return c
}

func (s *section) role() rights.Role {
	role := rights.Role{Name: rights.RoleName(s.title())}
	for _, t := range s.list("tenants") {
		role.Tenants = append(role.Tenants, choice.TenantID(t))
	}
	for _, t := range s.list("types") {
		role.Types = append(role.Types, choice.Class(t))
	}
	if len(role.Types) == 0 {
		s.wrong("types", "", "wants op types with commas between, or * for all")
	}
	for _, what := range s.list("may") {
		switch what {
		case "read":
			role.Reads = true
		case "write":
			role.Writes = true
		default:
			s.wrong("may", what, "wants read, write or both")
		}
	}
	if !role.Reads && !role.Writes {
		s.wrong("may", "", "wants read, write or both")
	}
	s.number("rate", &role.Rate, 0, 1e6)
	role.Burst = max(1, role.Rate) // a second's worth
	s.number("burst", &role.Burst, 1, 1e6)
	s.count("open", &role.Open, 0, 1_000_000)
	s.close()
	return role
}

func (s *section) caller() rights.Caller {
	c := rights.Caller{Title: s.title(), Match: s.list("match")}
	if len(c.Match) == 0 {
		s.wrong("match", "", "wants identities, as uri:rota://water/* or token:depot-7")
	}
	for _, match := range c.Match {
		kind, rest, _ := strings.Cut(match, ":")
		if rest == "" || kind != "uri" && kind != "dns" && kind != "subject" && kind != "token" {
			s.wrong("match", match, "wants uri:, dns:, subject: or token: in front")
		}
	}
	var tenant string
	s.text("tenant", &tenant)
	c.Tenant = choice.TenantID(tenant)
	for _, name := range s.list("roles") {
		c.Roles = append(c.Roles, rights.RoleName(name))
	}
	if len(c.Roles) == 0 {
		s.wrong("roles", "", "wants roles with commas between")
	}
	s.close()
	return c
}

// path reads the path of a file or folder; one that does not begin at the root counts from where the operator's file is.
func (s *section) path(name string, to *string) {
	s.text(name, to)
	if *to != "" && !filepath.IsAbs(*to) {
		*to = filepath.Join(filepath.Dir(s.r.file), *to)
	}
}

// file is a path that has to be told once its section is there.
func (s *section) file(name string, to *string) {
	if s.path(name, to); *to == "" && s.given() {
		s.wrong(name, "", "wants a path")
	}
}

func (r *reader) tokens() Tokens {
	var t Tokens
	s := r.section("tokens")
	t.On = s.given()
	s.file("keys", &t.Keys)
	s.wanted("issuer", &t.Policy.Issuer)
	s.wanted("audience", &t.Policy.Audience)
	t.Policy.Leeway = 30 * time.Second // devices set their clocks by the network now and then
	s.span("leeway", &t.Policy.Leeway, 0, time.Hour)
	t.Policy.Longest = 2048 // bytes: an RSA signature and a page of claims
	s.count("longest", &t.Policy.Longest, 64, 4096)
	s.text("tenant-claim", &t.Policy.Tenant)
	s.text("roles-claim", &t.Policy.Roles)
	s.path("revoked", &t.Revoked)
	s.flag("single-use", &t.Policy.Single)
	t.Bounds.Once = 65_536 // ids: some minutes of a busy instance
	s.count("single-use-remembered", &t.Bounds.Once, 1, 10_000_000)
	t.Bounds.Remembered = 8_192 // half a kilobyte each
	s.count("remembered", &t.Bounds.Remembered, 16, 1_000_000)
	t.Bounds.Waiting = 256 // as many ops as are checked in some tens of milliseconds
	s.count("waiting", &t.Bounds.Waiting, 1, 4096)
	t.Bounds.Share = 0.1 // of a core: some hundred checks a second
	s.number("share", &t.Bounds.Share, 0.001, 1)
	t.Bounds.Every = time.Second
	s.span("look-every", &t.Bounds.Every, 10*time.Millisecond, time.Hour)
	s.close()
	return t
}

func (r *reader) tls() TLS {
	t := TLS{Oldest: "1.3"}
	s := r.section("tls")
	t.On = s.given()
	if s.wanted("listen", &t.Listen); t.Listen != "" {
		if _, _, err := net.SplitHostPort(t.Listen); err != nil {
			s.wrong("listen", t.Listen, "wants an address and a port, as 127.0.0.1:9443")
		}
	}
	s.file("certificate", &t.Certificate)
	s.file("key", &t.Key)
	s.path("authorities", &t.Authorities)
	s.path("revoked", &t.Revoked)
	if t.Revoked != "" && t.Authorities == "" {
		s.wrong("revoked", t.Revoked, "wants authorities, which sign it")
	}
	t.Grace = time.Hour
	s.span("revoked-grace", &t.Grace, 0, 30*24*time.Hour)
	old := "deny"
	s.word("stale-list", &old, "deny", "allow")
	t.AllowOld = old == "allow"
	clients := "required"
	s.word("clients", &clients, "required", "asked")
	t.Required = clients == "required"
	if t.Required && t.Authorities == "" && s.given() {
		s.wrong("authorities", "", "wants a path, as clients is required")
	}
	s.word("oldest", &t.Oldest, "1.3", "1.2")
	t.Handshakes = 64 // at a time: a megabyte or two of their state
	s.count("handshakes", &t.Handshakes, 1, 10_000)
	t.Rate = 200 // a second: about a tenth of a core
	s.number("handshake-rate", &t.Rate, 0.1, 100_000)
	s.close()
	return t
}
