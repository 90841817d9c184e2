package config

import (
	"net"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/forward"
	"lanewheel/internal/proxy"
)

// Proxy is how a process passes ops on.
type Proxy struct {
	Enabled bool
	Config  proxy.Config
}

func (r *reader) readProxy(fleet *Fleet) Proxy {
	parsed := Proxy{Config: proxy.Config{Config: forward.Config{Balancer: balancer.DefaultConfig(), ProbesPerRequest: 2, ConnectionsPerEndpoint: 2, IdleTimeout: 30 * time.Second}, MaxInFlight: 4096, DrainGrace: 500 * time.Millisecond}}
	s := r.section("relay")
	parsed.Enabled = s.exists()
	if parsed.Enabled && !fleet.Enabled {
		s.report("", "", "wants a section [fleet], by which it knows the members")
	}
	parsed.Config.Balancer.LocalZone = fleet.Zone
	if host, _, err := net.SplitHostPort(fleet.ListenAddress); err == nil {
		parsed.Config.LocalAddress = host // so that whoever stands between knows both ends
	}
	policy := balancer.LeastEstimatedLoad.String()
	var policies []string
	for candidate := balancer.LeastEstimatedLoad; candidate <= balancer.LeastReportedLoad; candidate++ {
		policies = append(policies, candidate.String())
	}
	s.enumValue("way", &policy, policies...)
	for candidate := balancer.LeastEstimatedLoad; candidate <= balancer.LeastReportedLoad; candidate++ {
		if candidate.String() == policy {
			parsed.Config.Balancer.Policy = candidate
		}
	}
	balancing := &parsed.Config.Balancer
	s.intValue("choices", &balancing.ChoiceCount, 1, 64)
	s.durationValue("fades", &balancing.LoadHalfLife, 0, time.Minute)
	s.durationValue("believed", &balancing.LoadMaxAge, 10*time.Millisecond, time.Hour)
	s.readBalancer(balancing)
	s.floatValue("retry-share", &balancing.RetryRatio, 0, 1)
	s.floatValue("retry-saved", &balancing.RetryBurst, 0, 1000)
	s.floatValue("asks", &parsed.Config.ProbesPerRequest, 0, 16)
	s.intValue("in-hand", &parsed.Config.MaxInFlight, 1, 60_000)
	s.intValue("connections", &parsed.Config.ConnectionsPerEndpoint, 1, 64)
	s.intValue("subset", &parsed.Config.SubsetSize, 0, 10_000)
	s.durationValue("unused", &parsed.Config.IdleTimeout, time.Second, time.Hour)
	s.durationValue("grace", &parsed.Config.DrainGrace, 0, time.Minute)
	s.durationValue("come-back", &parsed.Config.RetryAfter, 0, time.Minute)
	s.reportUnknownNames()
	return parsed
}

// readBalancer reads what holds of whoever chooses among members or services.
func (s *section) readBalancer(config *balancer.Config) {
	s.floatValue("near", &config.LocalZoneUtilization, 0, 1.6)
	s.floatValue("trickle", &config.OutlierWeight, 0.0001, 1)
	s.floatValue("bad-share", &config.MaxOutlierFraction, 0, 1)
	s.durationValue("memory", &config.OutcomeHalfLife, 100*time.Millisecond, time.Hour)
}
