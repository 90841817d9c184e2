package fleetcommands

import (
	"log/slog"
	"os"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/proxies"
	"lanewheel/internal/membership"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
)

// runProxy runs a relay.
func runProxy(operatorPath, logFormat string) error {
	return proxies.Run(os.Getenv("RELAY_CONFIG"), operatorPath, logFormat, func(platform server.Config, operatorConfig *lifecycle.OperatorConfig) (*proxy.Proxy, func(*lifecycle.OperatorConfig), error) {
		fleet := operatorConfig.File.Fleet
		fleet.Roles = fleet.Roles&^membership.RoleServer | membership.RoleProxy
		process := &proxyProcess{}
		agent, err := gossip.New(GossipConfig(&fleet, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys), process, platform.Seed)
		if err != nil {
			return nil, nil, err
		}
		running, err := proxy.Listen(platform, operatorConfig.File.Proxy.Config, prober(agent))
		if err != nil {
			return nil, nil, err
		}
		process.proxy = running
		subscribe(agent, running.Loop, running.UpdateView)
		running.Attach(agent)
		slog.Info("fleet", "name", string(agent.View().Self.Name), "listen", fleet.ListenAddress, "seeds", len(fleet.Config.Seeds), "keys", len(operatorConfig.ClusterKeys))
		return running, func(operatorConfig *lifecycle.OperatorConfig) {
			reloaded := operatorConfig.File.Fleet
			reloaded.Roles = fleet.Roles
			agent.SetConfig(GossipConfig(&reloaded, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys))
		}, nil
	})
}

// proxyProcess speaks for a relay.
type proxyProcess struct{ proxy *proxy.Proxy }

func (p *proxyProcess) Status(report func(gossip.ProcessStatus)) {
	p.proxy.Post(func() {
		load := p.proxy.Load()
		report(gossip.ProcessStatus{Ready: load.Ready, Draining: load.Draining, Metrics: []membership.Metric{{Name: "passing", Value: float64(load.Running)}}})
	})
}

func (p *proxyProcess) Load(report func(float64, gossip.RequestStats)) {
	p.proxy.Post(func() { report(float64(p.proxy.Load().Running), gossip.RequestStats{}) })
}

func (p *proxyProcess) Fenced() { p.proxy.Post(p.proxy.Drain) }

func (p *proxyProcess) Drain(uint64) { p.proxy.Post(p.proxy.Drain) }
