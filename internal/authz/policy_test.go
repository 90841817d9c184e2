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
	{Name: "crew", Classes: []admission.Class{"view", "set"}, CanRead: true, CanWrite: true, RatePerSecond: 10, Burst: 2, MaxInFlight: 3},
	{Name: "viewer", Classes: []admission.Class{"view"}, CanRead: true},
	{Name: "desk", Classes: []admission.Class{wildcard}, Tenants: []admission.TenantID{wildcard}, CanRead: true, CanWrite: true},
}, []Binding{
	{Name: "water", Patterns: []string{"uri:rota://water/*"}, Tenant: "water", Roles: []RoleName{"crew"}},
	{Name: "foreman", Patterns: []string{"uri:rota://water/foreman", "token:desk-1"}, Tenant: "water", Roles: []RoleName{"desk"}},
	{Name: "roads", Patterns: []string{"uri:rota://*"}, Tenant: "roads", Roles: []RoleName{"crew", "viewer"}},
}, []admission.Class{"set"}, nil))

// Who a caller is, and what it may: a whole name goes before a start, a longer start before a shorter; a write that calls
// itself a read stays a write; another tenant's op is denied.
func Example() {
	for _, c := range []struct {
		name   Identity
		claim  admission.TenantID
		roles  []RoleName
		kind   admission.Class
		tenant admission.TenantID
		write  bool
	}{
		{"uri:rota://water/7", "", nil, "set", "water", true},
		{"uri:rota://water/7", "", nil, "set", "", true},
		{"uri:rota://water/7", "", nil, "set", "roads", true},
		{"uri:rota://roads/7", "", nil, "set", "water", true},
		{"uri:rota://water/foreman", "", nil, "set", "roads", true},
		{"token:x", "water", []RoleName{"viewer", "none"}, "view", "water", false},
		{"token:x", "water", []RoleName{"viewer"}, "view", "water", true},
		{"token:x", "water", []RoleName{"viewer"}, "set", "water", false},
		{"token:x", "water", nil, "view", "water", false},
		{"token:desk-1", "roads", []RoleName{"viewer"}, "any", "gas", true},
	} {
		w, why := policy.Resolve([]Identity{c.name}, c.claim, c.roles)
		if why == "" {
			var tenant admission.TenantID
			_, tenant, why = policy.Authorize(&w, Request{c.kind, c.tenant, c.write})
			fmt.Printf("%s %s for %s: %q\n", c.name, c.kind, tenant, why)
			continue
		}
		fmt.Printf("%s: %q\n", c.name, why)
	}
	_, why := policy.Anonymous()
	fmt.Println(why)
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
	// token:desk-1 any for gas: ""
	// no-identity
	// caller "a": there is no role "none"
}

// The book against rules read one by one.
func TestPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants := []admission.TenantID{"", "a", "b", wildcard}
		kinds := []admission.Class{"x", "y", wildcard}
		var roles []Role
		for i := range rapid.IntRange(1, 4).Draw(t, "roles") {
			roles = append(roles, Role{Name: RoleName(fmt.Sprint("r", i)),
				Tenants: rapid.SliceOfN(rapid.SampledFrom(tenants[1:]), 0, 2).Draw(t, "tenants"),
				Classes: rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 2).Draw(t, "types"),
				CanRead: rapid.Bool().Draw(t, "reads"), CanWrite: rapid.Bool().Draw(t, "writes")})
		}
		var callers []Binding
		used := map[string]bool{}
		for i := range rapid.IntRange(0, 4).Draw(t, "callers") {
			match := rapid.SampledFrom([]string{"uri:a", "uri:a*", "uri:ab", "uri:ab*", "uri:*", "dns:a", "token:*"}).Draw(t, "match")
			if used[match] {
				continue
			}
			used[match] = true
			callers = append(callers, Binding{Name: fmt.Sprint("c", i), Patterns: []string{match},
				Tenant: rapid.SampledFrom(tenants[:3]).Draw(t, "tenant"),
				Roles:  []RoleName{roles[rapid.IntRange(0, len(roles)-1).Draw(t, "role")].Name}})
		}
		writes := rapid.SliceOfN(rapid.SampledFrom(kinds[:2]), 0, 1).Draw(t, "writes")
		b := setuptest.Must(NewPolicy(roles, callers, writes, nil))
		name := rapid.SampledFrom([]string{"uri:a", "uri:ab", "uri:abc", "uri:c", "dns:a", "dns:b", "token:q"}).Draw(t, "name")
		ask := Request{rapid.SampledFrom(kinds[:2]).Draw(t, "kind"), rapid.SampledFrom(tenants[:3]).Draw(t, "asks"), rapid.Bool().Draw(t, "write")}

		best, length := -1, -1
		for i, c := range callers {
			m := c.Patterns[0]
			if with, open := strings.CutSuffix(m, "*"); m == name {
				best, length = i, math.MaxInt
			} else if open && strings.HasPrefix(name, with) && len(with) > length {
				best, length = i, len(with)
			}
		}
		may := false
		if best >= 0 {
			c := callers[best]
			r := roles[slices.IndexFunc(roles, func(r Role) bool { return r.Name == c.Roles[0] })]
			tenant := ask.Tenant
			if tenant == "" {
				tenant = c.Tenant
			}
			write := ask.Write || slices.Contains(writes, ask.Class)
			may = (tenant == c.Tenant || slices.Contains(r.Tenants, tenant) || slices.Contains(r.Tenants, wildcard)) &&
				(slices.Contains(r.Classes, ask.Class) || slices.Contains(r.Classes, wildcard)) && (write && r.CanWrite || !write && r.CanRead)
		}
		w, why := b.Resolve([]Identity{Identity(name)}, "", nil)
		if why == "" {
			_, _, why = b.Authorize(&w, ask)
		}
		if may != (why == "") {
			t.Fatalf("%s %+v: %q, want may %v", name, ask, why, may)
		}
	})
}
