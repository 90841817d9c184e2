// Package fleetcommands is the commands of the program that has the fleet's parts linked.
package fleetcommands

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/cli"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/config"
	"lanewheel/internal/drill"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/allocator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/forward"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/allocators"
	"lanewheel/internal/lifecycle/proxies"
	"lanewheel/internal/membership"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
	"lanewheel/internal/spillover"
	"lanewheel/internal/transport"
	"lanewheel/internal/upstream"
)

// Commands is all that lanewheel-fleet has beside lanewheel.
func Commands() cli.Components {
	return cli.Components{FleetHooks: joinFleet, RunProxy: runProxy, RunAllocator: runAllocator, ShowMembers: showMembers, RunDrill: runDrill, ShowRecord: showRecord, CompareRecords: compareRecords, CoordinatorFuncs: cli.CoordinatorFuncs{Request: runCoordinatorCommand, RunDrillHook: drill.RunHook}}
}

// GossipConfig puts together what the part goes by.
func GossipConfig(fleet *config.Fleet, name, address string, keys []membership.Key) gossip.Config {
	if fleet.Name != "" {
		name = fleet.Name
	}
	if fleet.ServiceAddress != "" {
		address = fleet.ServiceAddress
	}
	return gossip.Config{Name: membership.Name(name), Cluster: fleet.Cluster, ListenAddr: fleet.ListenAddress, AdvertiseAddr: fleet.AdvertiseAddress, ServiceAddr: address, Roles: fleet.Roles, Zone: fleet.Zone, Release: fleet.Release,
		Capacity: fleet.Capacity, WarmUp: fleet.WarmUp, Keys: keys, ProbeInterval: fleet.ProbeInterval, MaxMessageRate: fleet.MaxMessageRate, StatusSocket: fleet.StatusSocket, LeaveWhenFenced: fleet.DrainWhenFenced, DrainByPermit: fleet.RequirePermit, Membership: fleet.Config}
}

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

// runAllocator runs a desk.
func runAllocator(operatorPath, logFormat string) error {
	return allocators.Run(operatorPath, logFormat, func(process *allocator.Server, operatorConfig *lifecycle.OperatorConfig) (func(*lifecycle.OperatorConfig), error) {
		gossipConfig := func(operatorConfig *lifecycle.OperatorConfig) gossip.Config {
			fleet := operatorConfig.File.Fleet
			fleet.Roles = membership.RoleUpstream
			return GossipConfig(&fleet, "", "", operatorConfig.ClusterKeys)
		}
		agent, err := gossip.New(gossipConfig(operatorConfig), process, uint64(os.Getpid()))
		if err != nil {
			return nil, err
		}
		process.Attach(agent)
		agent.Start()
		return func(operatorConfig *lifecycle.OperatorConfig) {
			agent.SetConfig(gossipConfig(operatorConfig))
			process.SetConfig(operatorConfig.File.Allocator.Config)
		}, nil
	})
}

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
func (p *proxyProcess) Fenced()      { p.proxy.Post(p.proxy.Drain) }
func (p *proxyProcess) Drain(uint64) { p.proxy.Post(p.proxy.Drain) }

// showMembers prints how a process sees its fleet, and how far others' views are from its.
func showMembers(fleet config.Fleet, sockets []string, asJSON bool, out io.Writer) error {
	snapshot, err := gossip.ReadSnapshot(fleet.StatusSocket, gossip.SnapshotFull)
	if err != nil {
		return fmt.Errorf("nobody answers at %s: %w", fleet.StatusSocket, err)
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(snapshot)
	}
	fmt.Fprintf(out, "%s, incarnation %d, %s, reach %.2f, view %d\n", snapshot.Name, snapshot.Incarnation, snapshot.LocalHealth, snapshot.HeardFraction, snapshot.ViewVersion)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tincarnation\tstate\twhy\tfor\tspoke\troles\tzone\trelease\tcores\tfacts")
	for _, member := range snapshot.Members {
		var facts []string
		for _, key := range slices.Sorted(maps.Keys(member.Metrics)) {
			facts = append(facts, fmt.Sprintf("%s=%.3g", key, member.Metrics[key]))
		}
		if len(member.StaleMetrics) > 0 {
			facts = append(facts, "too old: "+strings.Join(member.StaleMetrics, " "))
		}
		age := func(ms int64) time.Duration {
			return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t%v\t%s\t%s\t%s\t%g\t%s\n", member.Name, member.Incarnation, member.State, member.Reason, age(member.InStateMillis), age(member.SinceHeartbeatMillis), member.Roles, member.Zone, member.Release,
			member.Capacity, strings.Join(facts, " "))
	}
	table.Flush()
	for _, name := range slices.Sorted(maps.Keys(snapshot.Counters)) {
		fmt.Fprintf(out, "%s %d\n", name, snapshot.Counters[name])
	}
	for _, socket := range sockets {
		other, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
		if err != nil {
			fmt.Fprintf(out, "nobody answers at %s: %v\n", socket, err)
			continue
		}
		compareViews(snapshot, other, out)
	}
	return nil
}

// compareViews prints on whom two views differ. Each holds itself to be here, which no view says.
func compareViews(first, second gossip.Snapshot, out io.Writer) {
	states := func(snapshot gossip.Snapshot) map[string]string {
		byName := map[string]string{snapshot.Name: fmt.Sprint("up ", snapshot.Incarnation)}
		for _, member := range snapshot.Members {
			byName[member.Name] = fmt.Sprint(member.State, " ", member.Incarnation)
		}
		return byName
	}
	firstStates, secondStates := states(first), states(second)
	differences := 0
	names := maps.Clone(firstStates)
	maps.Copy(names, secondStates)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if firstStates[name] != secondStates[name] {
			differences++
			fmt.Fprintf(out, "%s: %s holds %q, %s holds %q\n", name, first.Name, firstStates[name], second.Name, secondStates[name])
		}
	}
	fmt.Fprintf(out, "%s and %s differ on %d of %d\n", first.Name, second.Name, differences, len(names))
}

// runDrill carries a script out; with "check" in place of a record it only says what it would do.
func runDrill(script *config.Drill, record, picture string, out io.Writer) (violations int, err error) {
	if record == "check" {
		for _, event := range drill.Timeline(script) {
			fmt.Fprintln(out, event)
		}
		return 0, nil
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	result, err := drill.Run(script, self, out)
	if err != nil {
		return 0, err
	}
	if record != "" {
		if err := result.Save(record); err != nil {
			return 0, err
		}
	}
	result.WriteTable(out)
	for _, row := range result {
		if row.Kind == "violation" {
			violations++
		}
	}
	if violations == 0 {
		fmt.Fprintln(out, "all held")
	} else {
		fmt.Fprintf(out, "%d did not hold, seed %d\n", violations, script.RandomSeed)
	}
	if picture != "" {
		err = result.Draw(picture)
	}
	return violations, err
}

func showRecord(record, picture string, out io.Writer) error {
	loaded, err := drill.LoadRecord(record)
	if err != nil {
		return err
	}
	loaded.WriteTable(out)
	if picture != "" {
		return loaded.Draw(picture)
	}
	return nil
}

func compareRecords(first, second string, out io.Writer) error {
	firstRecord, err := drill.LoadRecord(first)
	if err != nil {
		return err
	}
	secondRecord, err := drill.LoadRecord(second)
	if err != nil {
		return err
	}
	drill.Compare(out, firstRecord, secondRecord)
	return nil
}
