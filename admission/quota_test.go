package admission

import "fmt"

// Requests of a tenant beyond its quota wait for those of other tenants. The first request of tenant x is within its
// quota, and the later ones are not. At a quota of 100 a second, the 441st of simultaneous arrivals is the first beyond
// the quota: the quota is 400 in the window of 4 s, and twice its square root is allowed for chance.
func Example_quota() {
	s := newFixture(Settings{FleetSize: 1, Tenants: []TenantSettings{
		{Name: "x", QuotaPerSecond: 0.1},
		{Name: "y", QuotaPerSecond: 100},
	}})
	s.warmUp(200 * ms)
	s.submit(newRequest("a", 200*ms, 0.1), newRequest("b", 200*ms, 0.1))
	for i := range 6 {
		x := newRequest(fmt.Sprint("x", i), 100*ms, 0.1)
		x.Tenant = "x"
		s.controller.Submit(x)
	}
	y := newRequest("y", 150*ms, 0.1)
	y.Tenant = "y"
	s.submit(y)
	s.finish(Succeeded, 200*ms, "a", "b")
	s = newFixture(Settings{FleetSize: 1, Tenants: []TenantSettings{
		{Name: "x", QuotaPerSecond: 100},
		{Name: "y", QuotaPerSecond: 100},
	}})
	n := 1
	for n < 900 && !s.controller.quotas.recordArrival(&trackedRequest{Request: y}, s.now) {
		n++
	}
	fmt.Println("first arrival beyond the quota of 100 a second:", n)
	// Output:
	// 3200ms start a
	// 3200ms start b
	// 3200ms start x0
	// 3200ms start y
	// first arrival beyond the quota of 100 a second: 441
}
