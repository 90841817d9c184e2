package authz

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Example_rateLimiter shows the limits on the rate and on the requests in flight of an identity, and the retry delays.
// A request beyond the rate of one identity does not count against another.
func Example_rateLimiter() {
	limiter := newRateLimiter(10)
	water, _ := policy.Resolve([]Identity{"uri:rota://water/7"}, Claims{})
	other, _ := policy.Resolve([]Identity{"uri:rota://water/8"}, Claims{})
	grant, _ := policy.Authorize(&water, Request{"set", "water", true})
	acquire := func(now time.Duration, principal *Principal) Permission {
		permission, retryAfter, admitted := limiter.Acquire(now, principal, grant.Roles)
		fmt.Println(now, principal.Identity, admitted, retryAfter)
		return permission
	}
	acquire(0, &water)
	permission := acquire(0, &water)
	acquire(0, &water)
	acquire(0, &other)
	acquire(50*time.Millisecond, &water)
	acquire(100*time.Millisecond, &water)
	acquire(time.Second, &water) // the rate allows it, but three requests are in flight
	limiter.Release(time.Second, &permission)
	limiter.Release(time.Second, &permission) // a second release has no effect
	acquire(time.Second, &water)
	fmt.Println(limiter.entries[usageKey{water.Identity, "crew"}].inFlight, limiter.Len())
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

// Example_bounded shows that 100,000 identities leave no more entries than configured, and that an entry in use is
// not evicted for a new one.
func Example_bounded() {
	limiter := newRateLimiter(300) // the buckets of 100 entries are refilling at a time
	role := &Role{Name: "r", RatePerSecond: 10, Burst: 1}
	rejected := 0
	for i := range 100_000 {
		principal := &Principal{Identity: Identity(fmt.Sprint("token:", i))}
		now := time.Duration(i) * time.Millisecond
		permission, _, admitted := limiter.Acquire(now, principal, []*Role{role})
		if !admitted {
			rejected++
		}
		limiter.Release(now, &permission)
	}
	fmt.Println(limiter.Len() <= 300, rejected)
	limiter = newRateLimiter(2)
	for i := range 3 {
		_, retryAfter, admitted := limiter.Acquire(0, &Principal{Identity: Identity(fmt.Sprint(i))}, []*Role{role})
		fmt.Println(admitted, retryAfter)
	}
	// Output:
	// true 0
	// true 0s
	// true 0s
	// false 1s
}

// limiterModel records all requests that a limiter has admitted for one identity.
type limiterModel struct {
	*RateLimiter
	role       *Role
	principal  *Principal
	now        time.Duration
	admittedAt []time.Duration
	inFlight   []Permission
}

func drawLimiterModel(t *rapid.T) *limiterModel {
	return &limiterModel{
		RateLimiter: newRateLimiter(4),
		principal:   &Principal{Identity: "a"},
		role: &Role{
			Name:          "r",
			RatePerSecond: rapid.Float64Range(1, 50).Draw(t, "rate"),
			Burst:         rapid.Float64Range(1, 9).Draw(t, "burst"),
			MaxInFlight:   rapid.IntRange(0, 4).Draw(t, "max in flight"),
		},
	}
}

func (m *limiterModel) acquire() (retryAfter time.Duration, admitted bool) {
	permission, retryAfter, admitted := m.Acquire(m.now, m.principal, []*Role{m.role})
	if admitted {
		m.admittedAt = append(m.admittedAt, m.now)
		m.inFlight = append(m.inFlight, permission)
	}
	return retryAfter, admitted
}

// checkLimits checks the number of requests in flight, and the number admitted in each period that ends now.
func (m *limiterModel) checkLimits(t *rapid.T) {
	if m.role.MaxInFlight > 0 && len(m.inFlight) > m.role.MaxInFlight {
		t.Fatal("more requests in flight than the role allows")
	}
	for i, from := range m.admittedAt {
		count := len(m.admittedAt) - i
		limit := m.role.Burst + (m.now-from).Seconds()*m.role.RatePerSecond + 1e-6
		if float64(count) > limit {
			t.Fatalf("%d requests admitted in %v, want at most %f", count, m.now-from, limit)
		}
	}
}

// TestRateLimiter compares the limiter with a record of all admitted requests. No period has more requests than burst
// and rate allow, and there are never more in flight than configured. A request within both limits is admitted, and
// so is one that is retried after the returned delay.
func TestRateLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawLimiterModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(m.inFlight) > 0 && rapid.Bool().Draw(t, "finishes") {
				m.Release(m.now, &m.inFlight[0])
				m.inFlight = m.inFlight[1:]
				continue
			}
			retryAfter, admitted := m.acquire()
			m.checkLimits(t)
			if admitted || m.role.MaxInFlight > 0 && len(m.inFlight) >= m.role.MaxInFlight {
				continue
			}
			m.now += retryAfter + time.Microsecond
			if _, admitted := m.acquire(); !admitted {
				t.Fatalf("request retried after %v was rejected, want admitted", retryAfter)
			}
		}
	})
}

func BenchmarkAuthorizeAndAcquire(b *testing.B) {
	limiter := newRateLimiter(10_000)
	principal, _ := policy.Resolve([]Identity{"uri:rota://water/7"}, Claims{})
	b.ReportAllocs()
	for i := range b.N {
		grant, _ := policy.Authorize(&principal, Request{"set", "water", true})
		now := time.Duration(i) * time.Second
		permission, _, admitted := limiter.Acquire(now, &principal, grant.Roles)
		if !admitted {
			b.Fatal("rejected")
		}
		limiter.Release(now, &permission)
	}
}
