package fleetcommands

import (
	"log/slog"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/spillover"
	"lanewheel/internal/transport"
	"lanewheel/internal/upstream"
)

// Names of the metrics that a process reports about itself. Gossip distributes them; the balancer reads them and the
// command "members" prints them.
const (
	metricHealth   = "health" // 1: healthy
	metricLoad     = "signal" // the load report
	metricQueued   = "held"
	metricRunning  = "running"
	metricCores    = "cores"
	metricInFlight = "passing" // requests in flight in a proxy
)

// joinFleet adds to an instance the fleet features that the operator's file enables. The returned function applies a
// reloaded operator's file.
func joinFleet(
	srv *server.Server, platform server.Config, operatorConfig *lifecycle.OperatorConfig,
) (func(*lifecycle.OperatorConfig), error) {
	file := &operatorConfig.File
	if !file.Fleet.Enabled { // upstream services at configured addresses are called without a fleet
		addUpstreams(srv, upstream.New(srv.Loop, file.Upstream.Config, membership.ID{}, platform.Seed, nil))
		return func(*lifecycle.OperatorConfig) {}, nil
	}
	agentConfig := func(operatorConfig *lifecycle.OperatorConfig) gossip.Config {
		return gossipConfig(&operatorConfig.File.Fleet, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys)
	}
	agent, err := gossip.New(agentConfig(operatorConfig), &serverProcess{srv}, platform.Seed)
	if err != nil {
		return nil, err
	}
	srv.EnableForwarded()
	var spill *spillover.Spillover
	if file.Spillover.Enabled {
		srv.EnableSpillover(func(net *transport.Net) server.Spillover {
			spill = spillover.New(srv, net, file.Spillover.Config, platform.Seed, probeFunc(agent))
			return spill
		})
		subscribe(agent, srv.Loop, spill.UpdateView)
		srv.AddFrontend(spill)
	}
	if file.Upstream.Enabled {
		upstreams := upstream.New(
			srv.Loop, file.Upstream.Config, agent.View().Self.ID(), platform.Seed, agent.RequestLease)
		agent.OnLease = func(lease concurrencylease.Lease) {
			srv.Post(func() { upstreams.HandleLease(lease) })
		}
		subscribe(agent, srv.Loop, upstreams.UpdateMembers)
		addUpstreams(srv, upstreams)
	}
	srv.AddFrontend(agent)
	logJoined(agent, operatorConfig)
	return func(operatorConfig *lifecycle.OperatorConfig) {
		agent.SetConfig(agentConfig(operatorConfig))
		if spill != nil {
			srv.Post(func() { spill.SetConfig(operatorConfig.File.Spillover.Config) })
		}
	}, nil
}

// addUpstreams makes an instance call upstream services through a client, which runs on the instance's event loop.
func addUpstreams(srv *server.Server, upstreams *upstream.Client) {
	srv.UseUpstreams(upstreams)
	srv.Post(upstreams.Start)
}

func logJoined(agent *gossip.Agent, operatorConfig *lifecycle.OperatorConfig) {
	fleet := &operatorConfig.File.Fleet
	slog.Info("joined fleet",
		"member", string(agent.View().Self.Name),
		"addr", fleet.ListenAddress,
		"seeds", len(fleet.Config.Seeds),
		"keys", len(operatorConfig.ClusterKeys))
}

// serverProcess represents an instance in the fleet. It reads the reported values on the instance's event loop.
type serverProcess struct{ server *server.Server }

// Status implements gossip.Process.
func (p *serverProcess) Status(report func(gossip.ProcessStatus)) {
	p.server.Post(func() {
		load := p.server.Load()
		health := 0.0
		if load.Healthy {
			health = 1
		}
		report(gossip.ProcessStatus{
			Ready:    load.Ready,
			Draining: load.Draining,
			Metrics: []membership.Metric{
				{Name: metricHealth, Value: health},
				{Name: metricLoad, Value: load.LoadReport},
				{Name: metricQueued, Value: float64(load.Queued)},
				{Name: metricRunning, Value: float64(load.Running)},
				{Name: metricCores, Value: load.Cores},
			},
		})
	})
}

// Load implements gossip.Process.
func (p *serverProcess) Load(report func(float64, gossip.RequestStats)) {
	p.server.Post(func() {
		totals := p.server.Stats()
		stats := gossip.RequestStats{
			Finished:        float64(totals.Answered),
			WithinObjective: float64(totals.WithinObjective),
			TotalSeconds:    totals.TotalLatency.Seconds(),
		}
		load := p.server.Load()
		inFlight := load.Queued + load.Running
		if inFlight == 0 {
			report(balancer.IdleLoad(load.IdleFor), stats)
			return
		}
		report(float64(inFlight), stats)
	})
}

// Drain implements gossip.Process.
func (p *serverProcess) Drain(permitID uint64) {
	p.server.Post(func() {
		slog.Info("draining by permit", "permit", permitID)
		p.server.Drain()
	})
}

// OnFenced implements gossip.Process.
func (p *serverProcess) OnFenced() { p.server.Post(p.server.Drain) }
