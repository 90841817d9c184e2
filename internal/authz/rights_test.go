package authz

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

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

// An identity's rate, its ops in hand, and when it may come back; ten times its rate costs its neighbour nothing.
func Example_rateLimiter() {
	g := newRateLimiter(10)
	water, _ := policy.Resolve([]Identity{"uri:rota://water/7"}, "", nil)
	other, _ := policy.Resolve([]Identity{"uri:rota://water/8"}, "", nil)
	roles, _, _ := policy.Authorize(&water, Request{"set", "water", true})
	take := func(now time.Duration, w *Principal) Permission {
		p, after, in := g.Acquire(now, w, roles)
		fmt.Println(now, w.Identity, in, after)
		return p
	}
	take(0, &water)
	p := take(0, &water)
	take(0, &water)
	take(0, &other)
	take(50*time.Millisecond, &water)
	take(100*time.Millisecond, &water)
	take(time.Second, &water) // its rate would allow it, but three are in hand
	g.Release(time.Second, &p)
	g.Release(time.Second, &p) // a second time gives nothing back
	take(time.Second, &water)
	fmt.Println(g.inFlight(water.Identity, "crew"), g.Len())
	// Output:
	// 0s uri:rota://water/7 true 0s
	// 0s uri:rota://water/7 true 0s
	// 0s uri:rota://water/7 false 100ms
	// 0s uri:rota://water/8 true 0s
	// 50ms uri:rota://water/7 false 50ms
	// 100ms uri:rota://water/7 true 0s
	// 1s uri:rota://water/7 false 33.333333ms
	// 1s uri:rota://water/7 true 0s
	// 3 2
}

// A hundred thousand identities leave no more entries than told; who is in use is not forgotten for a newcomer.
func Example_bounded() {
	g := newRateLimiter(300) // a hundred are refilling at a time
	r := &Role{Name: "r", RatePerSecond: 10, Burst: 1}
	turned := 0
	for i := range 100_000 {
		w := &Principal{Identity: Identity(fmt.Sprint("token:", i))}
		p, _, in := g.Acquire(time.Duration(i)*time.Millisecond, w, []*Role{r})
		if !in {
			turned++
		}
		g.Release(time.Duration(i)*time.Millisecond, &p)
	}
	fmt.Println(g.Len() <= 300, turned)
	g = newRateLimiter(2)
	for i := range 3 {
		_, after, in := g.Acquire(0, &Principal{Identity: Identity(fmt.Sprint(i))}, []*Role{r})
		fmt.Println(in, after)
	}
	// Output:
	// true 0
	// true 0s
	// true 0s
	// false 1s
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

// The gate against a count of all that was ever let in: never more than burst and rate allow in any span, never more in hand
// than told, nobody turned away who keeps to both, and who comes back when told is let in.
func TestRateLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		role := &Role{Name: "r", RatePerSecond: rapid.Float64Range(1, 50).Draw(t, "rate"), Burst: rapid.Float64Range(1, 9).Draw(t, "burst"),
			MaxInFlight: rapid.IntRange(0, 4).Draw(t, "open")}
		g := newRateLimiter(4)
		now := time.Duration(0)
		var in []time.Duration
		var open []Permission
		w := &Principal{Identity: "a"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(open) > 0 && rapid.Bool().Draw(t, "ends") {
				g.Release(now, &open[0])
				open = open[1:]
				continue
			}
			p, after, let := g.Acquire(now, w, []*Role{role})
			if let {
				in, open = append(in, now), append(open, p)
			}
			if role.MaxInFlight > 0 && len(open) > role.MaxInFlight {
				t.Fatal("more in hand than told")
			}
			for i := range in { // in any span up to now
				if most := role.Burst + (now-in[i]).Seconds()*role.RatePerSecond + 1e-6; float64(len(in)-i) > most {
					t.Fatalf("%d in %v, most %f", len(in)-i, now-in[i], most)
				}
			}
			if !let && (role.MaxInFlight == 0 || len(open) < role.MaxInFlight) {
				now += after + time.Microsecond
				p, _, let := g.Acquire(now, w, []*Role{role})
				if !let {
					t.Fatalf("came back after %v and was turned away", after)
				}
				in, open = append(in, now), append(open, p)
			}
		}
	})
}

func BenchmarkAuthorizeAndAcquire(b *testing.B) {
	g := newRateLimiter(10_000)
	w, _ := policy.Resolve([]Identity{"uri:rota://water/7"}, "", nil)
	b.ReportAllocs()
	for i := range b.N {
		roles, _, _ := policy.Authorize(&w, Request{"set", "water", true})
		now := time.Duration(i) * time.Second
		p, _, in := g.Acquire(now, &w, roles)
		if !in {
			b.Fatal("turned away")
		}
		g.Release(now, &p)
	}
}
