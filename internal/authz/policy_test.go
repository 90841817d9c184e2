package authz

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lanewheel/admission"
	_ "lanewheel/internal/rapidtest"
	"lanewheel/internal/setuptest"
)

var policy = setuptest.Must(NewPolicy([]Role{
	{
		Name:          "crew",
		Classes:       []admission.Class{"view", "set"},
		CanRead:       true,
		CanWrite:      true,
		RatePerSecond: 10,
		Burst:         2,
		MaxInFlight:   3,
	},
	{Name: "viewer", Classes: []admission.Class{"view"}, CanRead: true},
	{
		Name:     "dispatch",
		Classes:  []admission.Class{wildcard},
		Tenants:  []admission.TenantID{wildcard},
		CanRead:  true,
		CanWrite: true,
	},
}, []Binding{
	{Name: "water", Patterns: []string{"uri:rota://water/*"}, Tenant: "water", Roles: []RoleName{"crew"}},
	{
		Name:     "foreman",
		Patterns: []string{"uri:rota://water/foreman", "token:dispatch-1"},
		Tenant:   "water",
		Roles:    []RoleName{"dispatch"},
	},
	{Name: "roads", Patterns: []string{"uri:rota://*"}, Tenant: "roads", Roles: []RoleName{"crew", "viewer"}},
}, []admission.Class{"set"}, nil))

// Example resolves callers and authorizes their requests. An exact pattern takes precedence over a prefix, and a
// longer prefix over a shorter one. A request of a write class that declares itself a read counts as a write. A
// request for another tenant is denied.
func Example() {
	for _, c := range []struct {
		identity Identity
		claims   Claims
		request  Request
	}{
		{"uri:rota://water/7", Claims{}, Request{"set", "water", true}},
		{"uri:rota://water/7", Claims{}, Request{"set", "", true}},
		{"uri:rota://water/7", Claims{}, Request{"set", "roads", true}},
		{"uri:rota://roads/7", Claims{}, Request{"set", "water", true}},
		{"uri:rota://water/foreman", Claims{}, Request{"set", "roads", true}},
		{"token:x", Claims{"water", []RoleName{"viewer", "none"}}, Request{"view", "water", false}},
		{"token:x", Claims{"water", []RoleName{"viewer"}}, Request{"view", "water", true}},
		{"token:x", Claims{"water", []RoleName{"viewer"}}, Request{"set", "water", false}},
		{"token:x", Claims{"water", nil}, Request{"view", "water", false}},
		{"token:dispatch-1", Claims{"roads", []RoleName{"viewer"}}, Request{"any", "gas", true}},
	} {
		principal, denial := policy.Resolve([]Identity{c.identity}, c.claims)
		if denial != "" {
			fmt.Printf("%s: %q\n", c.identity, denial)
			continue
		}
		grant, denial := policy.Authorize(&principal, c.request)
		fmt.Printf("%s %s for %s: %q\n", c.identity, c.request.Class, grant.Tenant, denial)
	}
	_, denial := policy.Anonymous()
	fmt.Println(denial)
	_, err := NewPolicy(nil, []Binding{{Name: "a", Patterns: []string{"uri:x"}, Roles: []RoleName{"none"}}}, nil, nil)
	fmt.Println(err)
	// Output:
	// uri:rota://water/7 set for water: ""
	// uri:rota://water/7 set for water: ""
	// uri:rota://water/7 set for roads: "tenant"
	// uri:rota://roads/7 set for water: "tenant"
	// uri:rota://water/foreman set for roads: ""
	// token:x view for water: ""
	// token:x view for water: "write"
	// token:x set for water: "type"
	// token:x: "unmapped"
	// token:dispatch-1 any for gas: ""
	// no-identity
	// caller "a": role "none" is not defined
}

var (
	drawnTenants = []admission.TenantID{"", "a", "b", wildcard}
	drawnClasses = []admission.Class{"x", "y", wildcard}
)

func drawRoles(t *rapid.T) []Role {
	var roles []Role
	for i := range rapid.IntRange(1, 4).Draw(t, "roles") {
		roles = append(roles, Role{
			Name:     RoleName(fmt.Sprint("r", i)),
			Tenants:  rapid.SliceOfN(rapid.SampledFrom(drawnTenants[1:]), 0, 2).Draw(t, "tenants"),
			Classes:  rapid.SliceOfN(rapid.SampledFrom(drawnClasses), 1, 2).Draw(t, "classes"),
			CanRead:  rapid.Bool().Draw(t, "can read"),
			CanWrite: rapid.Bool().Draw(t, "can write"),
		})
	}
	return roles
}

func drawBindings(t *rapid.T, roles []Role) []Binding {
	patterns := rapid.SampledFrom([]string{"uri:a", "uri:a*", "uri:ab", "uri:ab*", "uri:*", "dns:a", "token:*"})
	var bindings []Binding
	used := map[string]bool{}
	for i := range rapid.IntRange(0, 4).Draw(t, "bindings") {
		pattern := patterns.Draw(t, "pattern")
		if used[pattern] {
			continue
		}
		used[pattern] = true
		bindings = append(bindings, Binding{
			Name:     fmt.Sprint("c", i),
			Patterns: []string{pattern},
			Tenant:   rapid.SampledFrom(drawnTenants[:3]).Draw(t, "tenant"),
			Roles:    []RoleName{roles[rapid.IntRange(0, len(roles)-1).Draw(t, "role")].Name},
		})
	}
	return bindings
}

// bestBinding returns the index of the binding that applies to an identity, or -1 if none does.
func bestBinding(bindings []Binding, identity string) int {
	best, length := -1, -1
	for i, binding := range bindings {
		pattern := binding.Patterns[0]
		if text, isPrefix := strings.CutSuffix(pattern, "*"); pattern == identity {
			best, length = i, math.MaxInt
		} else if isPrefix && strings.HasPrefix(identity, text) && len(text) > length {
			best, length = i, len(text)
		}
	}
	return best
}

// isAllowed reports whether a role allows a request of an identity with the binding's tenant.
func isAllowed(role Role, binding Binding, request Request, writeClasses []admission.Class) bool {
	tenant := request.Tenant
	if tenant == "" {
		tenant = binding.Tenant
	}
	if tenant != binding.Tenant && !slices.Contains(role.Tenants, tenant) && !slices.Contains(role.Tenants, wildcard) {
		return false
	}
	if !slices.Contains(role.Classes, request.Class) && !slices.Contains(role.Classes, wildcard) {
		return false
	}
	if request.Write || slices.Contains(writeClasses, request.Class) {
		return role.CanWrite
	}
	return role.CanRead
}

// TestPolicy compares the policy with a reference that goes through the bindings one by one.
func TestPolicy(t *testing.T) {
	identities := []string{"uri:a", "uri:ab", "uri:abc", "uri:c", "dns:a", "dns:b", "token:q"}
	rapid.Check(t, func(t *rapid.T) {
		roles := drawRoles(t)
		bindings := drawBindings(t, roles)
		writeClasses := rapid.SliceOfN(rapid.SampledFrom(drawnClasses[:2]), 0, 1).Draw(t, "write classes")
		policy := setuptest.Must(NewPolicy(roles, bindings, writeClasses, nil))
		identity := rapid.SampledFrom(identities).Draw(t, "identity")
		request := Request{
			Class:  rapid.SampledFrom(drawnClasses[:2]).Draw(t, "class"),
			Tenant: rapid.SampledFrom(drawnTenants[:3]).Draw(t, "request's tenant"),
			Write:  rapid.Bool().Draw(t, "write"),
		}

		want := false
		if best := bestBinding(bindings, identity); best >= 0 {
			binding := bindings[best]
			role := roles[slices.IndexFunc(roles, func(r Role) bool { return r.Name == binding.Roles[0] })]
			want = isAllowed(role, binding, request, writeClasses)
		}
		principal, denial := policy.Resolve([]Identity{Identity(identity)}, Claims{})
		if denial == "" {
			_, denial = policy.Authorize(&principal, request)
		}
		if want != (denial == "") {
			t.Fatalf("%s %+v: denial %q, want allowed %v", identity, request, denial, want)
		}
	})
}
