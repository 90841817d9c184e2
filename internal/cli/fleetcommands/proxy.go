package fleetcommands

import (
	"os"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/proxies"
	"lanewheel/internal/membership"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
)

// runProxy runs a proxy until it has drained.
func runProxy(operatorPath, logFormat string) error {
	options := standaloneOptions(operatorPath, logFormat)
	options.ConfigPath = os.Getenv("RELAY_CONFIG")
	return proxies.Run(options, attachProxy)
}

// attachProxy creates a proxy with its gossip agent. The returned function applies a reloaded operator's file to the
// agent.
func attachProxy(
	platform server.Config, operatorConfig *lifecycle.OperatorConfig,
) (*proxy.Proxy, func(*lifecycle.OperatorConfig), error) {
	roles := operatorConfig.File.Fleet.Roles&^membership.RoleServer | membership.RoleProxy
	agentConfig := func(operatorConfig *lifecycle.OperatorConfig) gossip.Config {
		fleet := operatorConfig.File.Fleet
		fleet.Roles = roles
		return gossipConfig(&fleet, platform.Name, platform.ListenAddr, operatorConfig.ClusterKeys)
	}
	process := &proxyProcess{}
	agent, err := gossip.New(agentConfig(operatorConfig), process, platform.Seed)
	if err != nil {
		return nil, nil, err
	}
	process.proxy, err = proxy.Listen(platform, operatorConfig.File.Proxy.Config, probeFunc(agent))
	if err != nil {
		return nil, nil, err
	}
	subscribe(agent, process.proxy.Loop, process.proxy.UpdateView)
	process.proxy.Attach(agent)
	logJoined(agent, operatorConfig)
	return process.proxy, func(operatorConfig *lifecycle.OperatorConfig) {
		agent.SetConfig(agentConfig(operatorConfig))
	}, nil
}

// proxyProcess represents a proxy in the fleet. It reads the reported values on the proxy's event loop.
type proxyProcess struct{ proxy *proxy.Proxy }

// Status implements gossip.Process.
func (p *proxyProcess) Status(report func(gossip.ProcessStatus)) {
	p.proxy.Post(func() {
		load := p.proxy.Load()
		report(gossip.ProcessStatus{
			Ready:    load.Ready,
			Draining: load.Draining,
			Metrics:  []membership.Metric{{Name: metricInFlight, Value: float64(load.Running)}},
		})
	})
}

// Load implements gossip.Process.
func (p *proxyProcess) Load(report func(float64, gossip.RequestStats)) {
	p.proxy.Post(func() { report(float64(p.proxy.Load().Running), gossip.RequestStats{}) })
}

// OnFenced implements gossip.Process.
func (p *proxyProcess) OnFenced() { p.proxy.Post(p.proxy.Drain) }

// Drain implements gossip.Process.
func (p *proxyProcess) Drain(uint64) { p.proxy.Post(p.proxy.Drain) }
