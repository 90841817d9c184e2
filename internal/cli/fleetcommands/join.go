package fleetcommands

import (
	"log/slog"
	"sync/atomic"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/forward"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/spillover"
	"lanewheel/internal/transport"
	"lanewheel/internal/upstream"
)

// joinFleet brings an instance into its fleet.
func joinFleet(srv *server.Server, platform server.Config, operatorConfig *lifecycle.OperatorConfig) (func(*lifecycle.OperatorConfig), error) {
	if !operatorConfig.File.Fleet.Enabled { // services at told addresses need nobody else
		upstreamClient := upstream.New(srv.Loop, operatorConfig.File.Upstream.Config, membership.ID{}, platform.Seed, nil)
		srv.UseUpstreams(upstreamClient)
		srv.Post(upstreamClient.Start)
		return func(*lifecycle.OperatorConfig) {}, nil
	}
	agent, err := gossip.New(GossipConfig(&operatorConfig.File.Fleet, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys), &serverProcess{srv}, platform.Seed)
	if err != nil {
		return nil, err
	}
	var spill *spillover.Spillover
	if operatorConfig.File.Spillover.Enabled {
		srv.EnableSpillover(func(net *transport.Net) server.Spillover {
			spill = spillover.New(srv, net, operatorConfig.File.Spillover.Config, platform.Seed, prober(agent))
			return spill
		})
		subscribe(agent, srv.Loop, spill.UpdateView)
		srv.AddFrontend(spill)
	}
	if operatorConfig.File.Upstream.Enabled {
		upstreamClient := upstream.New(srv.Loop, operatorConfig.File.Upstream.Config, agent.View().Self.ID(), platform.Seed, agent.RequestLease)
		agent.OnLease = func(lease concurrencylease.Lease) { srv.Post(func() { upstreamClient.HandleLease(lease) }) }
		subscribe(agent, srv.Loop, upstreamClient.SetView)
		srv.UseUpstreams(upstreamClient)
		srv.Post(upstreamClient.Start)
	}
	srv.AddFrontend(agent)
	slog.Info("fleet", "name", string(agent.View().Self.Name), "listen", operatorConfig.File.Fleet.ListenAddress, "seeds", len(operatorConfig.File.Fleet.Config.Seeds), "keys", len(operatorConfig.ClusterKeys))
	return func(operatorConfig *lifecycle.OperatorConfig) {
		agent.SetConfig(GossipConfig(&operatorConfig.File.Fleet, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys))
		if spill != nil {
			srv.Post(func() { spill.SetConfig(operatorConfig.File.Spillover.Config) })
		}
	}, nil
}

// serverProcess speaks for an instance: what it says of itself comes from its core's loop.
type serverProcess struct{ server *server.Server }

func (i *serverProcess) Status(report func(gossip.ProcessStatus)) {
	i.server.Post(func() {
		load := i.server.Load()
		health := 0.0
		if load.Healthy {
			health = 1
		}
		report(gossip.ProcessStatus{Ready: load.Ready, Draining: load.Draining, Metrics: []membership.Metric{{Name: "health", Value: health}, {Name: "signal", Value: load.LoadReport},
			{Name: "held", Value: float64(load.Queued)}, {Name: "running", Value: float64(load.Running)}, {Name: "cores", Value: load.Cores}}})
	})
}

func (i *serverProcess) Load(report func(float64, gossip.RequestStats)) {
	i.server.Post(func() {
		totals := i.server.Stats()
		figures := gossip.RequestStats{Finished: float64(totals.Answered), WithinObjective: float64(totals.WithinObjective), TotalSeconds: totals.TotalLatency.Seconds()}
		if load := i.server.Load(); load.Queued+load.Running > 0 {
			report(float64(load.Queued+load.Running), figures)
		} else {
			report(balancer.IdleLoad(load.IdleFor), figures)
		}
	})
}

func (i *serverProcess) Drain(number uint64) {
	i.server.Post(func() {
		slog.Info("permitted", "permit", number)
		i.server.Drain()
	})
}

func (i *serverProcess) Fenced() { i.server.Post(i.server.Drain) }

// subscribe has a part that belongs to a loop see each view. Views come by the dozen a second; a tenth of one late is far less than they are old.
func subscribe(agent *gossip.Agent, eventLoop *eventloop.Loop, update func(*membership.View)) {
	var scheduled atomic.Bool
	agent.Subscribe(func(*membership.View) {
		if scheduled.CompareAndSwap(false, true) {
			eventLoop.Post(func() {
				eventLoop.ScheduleAt(eventLoop.Now()+100*time.Millisecond, func() {
					scheduled.Store(false)
					update(agent.View())
				})
			})
		}
	})
}

// prober is how others are asked how they stand.
func prober(agent *gossip.Agent) forward.ProbeFunc {
	return func(name membership.Name, report func(float64, time.Duration)) {
		agent.Post(func() { agent.QueryLoad(name, report) })
	}
}
