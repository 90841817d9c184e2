package authz

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
