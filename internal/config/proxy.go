package config

import (
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/forward"
	"lanewheel/internal/proxy"
)

// Proxy configures how a process forwards requests to instances.
type Proxy struct {
	Enabled bool
	Config  proxy.Config
}

func (r *reader) readProxy(fleet *Fleet) Proxy {
	parsed := Proxy{Config: proxy.Config{
		Config: forward.Config{
			Balancer:               balancer.DefaultConfig(),
			ProbesPerRequest:       2,
			ConnectionsPerEndpoint: 2,
			IdleTimeout:            30 * time.Second,
		},
		MaxInFlight: 4096,
		DrainGrace:  500 * time.Millisecond,
	}}
	s := r.section("proxy")
	parsed.Enabled = s.exists()
	s.requireFleet(fleet, "the members")
	config := &parsed.Config
	config.Balancer.LocalZone = fleet.Zone
	config.LocalAddress = hostOf(fleet.ListenAddress) // so that a component on the network path can identify both ends
	s.readPolicy(&config.Balancer.Policy)
	balancing := &config.Balancer
	s.intValue("choice-count", &balancing.ChoiceCount, 1, 64)
	s.durationValue("load-half-life", &balancing.LoadHalfLife, 0, time.Minute)
	s.durationValue("load-max-age", &balancing.LoadMaxAge, 10*time.Millisecond, time.Hour)
	s.readBalancer(balancing)
	s.floatValue("retry-budget", &balancing.RetryRatio, 0, 1)
	s.floatValue("retry-burst", &balancing.RetryBurst, 0, 1000)
	s.floatValue("probes-per-request", &config.ProbesPerRequest, 0, 16)
	s.intValue("max-in-flight", &config.MaxInFlight, 1, 60_000)
	s.intValue("connections-per-member", &config.ConnectionsPerEndpoint, 1, 64)
	s.intValue("subset-size", &config.SubsetSize, 0, 10_000)
	s.durationValue("idle-timeout", &config.IdleTimeout, time.Second, time.Hour)
	s.durationValue("drain-grace", &config.DrainGrace, 0, time.Minute)
	s.durationValue("retry-after", &config.RetryAfter, 0, time.Minute)
	s.reportUnknownNames()
	return parsed
}

// readPolicy reads the policy by which an endpoint is chosen.
func (s *section) readPolicy(target *balancer.Policy) {
	policies := map[string]balancer.Policy{}
	var names []string
	for policy := balancer.LeastEstimatedLoad; policy <= balancer.LeastReportedLoad; policy++ {
		policies[policy.String()] = policy
		names = append(names, policy.String())
	}
	name := balancer.LeastEstimatedLoad.String()
	s.enumValue("policy", &name, names...)
	*target = policies[name]
}

// readBalancer reads the balancer settings that [proxy] and [upstream] have in common.
func (s *section) readBalancer(config *balancer.Config) {
	s.floatValue("zone-affinity", &config.LocalZoneUtilization, 0, 1.6)
	s.floatValue("ejected-fraction", &config.OutlierWeight, 0.0001, 1)
	s.floatValue("max-ejected-fraction", &config.MaxOutlierFraction, 0, 1)
	s.durationValue("outcome-half-life", &config.OutcomeHalfLife, 100*time.Millisecond, time.Hour)
}
