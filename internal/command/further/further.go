// Package further is the commands of the program that has the fleet's parts linked.
package further

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

	"lanewheel/internal/below"
	"lanewheel/internal/command"
	"lanewheel/internal/drill"
	"lanewheel/internal/fleet/desk"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/grants"
	"lanewheel/internal/handover"
	"lanewheel/internal/keep"
	"lanewheel/internal/life"
	"lanewheel/internal/life/desks"
	"lanewheel/internal/life/relays"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/operator"
	"lanewheel/internal/pass"
	"lanewheel/internal/relay"
	"lanewheel/internal/spread"
	"lanewheel/internal/wire"
)

// Parts is all that lanewheel-fleet has beside lanewheel.
func Parts() command.Components {
	return command.Components{FleetHooks: join, RunProxy: relayed, RunAllocator: desked, ShowMembers: show, RunDrill: rehearse, ShowRecord: shown, CompareRecords: differ, CoordinatorFuncs: command.CoordinatorFuncs{Request: agree, RunDrillHook: drill.Hooked}}
}

// Told puts together what the part goes by.
func Told(f *operator.Fleet, name, serves string, keys []members.Key) gossip.Config {
	if f.Name != "" {
		name = f.Name
	}
	if f.ServiceAddress != "" {
		serves = f.ServiceAddress
	}
	return gossip.Config{Name: members.Name(name), Cluster: f.Cluster, ListenAddr: f.ListenAddress, AdvertiseAddr: f.AdvertiseAddress, ServiceAddr: serves, Roles: f.Roles, Zone: f.Zone, Release: f.Release,
		Capacity: f.Capacity, WarmUp: f.WarmUp, Keys: keys, ProbeInterval: f.ProbeInterval, MaxMessageRate: f.MaxMessageRate, StatusSocket: f.StatusSocket, LeaveWhenFenced: f.DrainWhenFenced, DrainByPermit: f.RequirePermit, Membership: f.Config}
}

// join brings an instance into its fleet.
func join(in *keep.Server, config keep.Config, o *life.OperatorConfig) (func(*life.OperatorConfig), error) {
	if !o.File.Fleet.Enabled { // services at told addresses need nobody else
		services := below.New(in.Loop, o.File.Upstream.Config, members.ID{}, config.Seed, nil)
		in.UseUpstreams(services)
		in.Post(services.Start)
		return func(*life.OperatorConfig) {}, nil
	}
	part, err := gossip.New(Told(&o.File.Fleet, config.Name, config.ListenAddr, o.ClusterKeys), &instance{in}, config.Seed)
	if err != nil {
		return nil, err
	}
	var over *handover.Spillover
	if o.File.Spillover.Enabled {
		in.EnableSpillover(func(net *wire.Net) keep.Spillover {
			over = handover.New(in, net, o.File.Spillover.Config, config.Seed, asks(part))
			return over
		})
		seeing(part, in.Loop, over.UpdateView)
		in.AddFrontend(over)
	}
	if o.File.Upstream.Enabled {
		below := below.New(in.Loop, o.File.Upstream.Config, part.View().Self.ID(), config.Seed, part.RequestLease)
		part.OnLease = func(g grants.Lease) { in.Post(func() { below.HandleLease(g) }) }
		seeing(part, in.Loop, below.SetView)
		in.UseUpstreams(below)
		in.Post(below.Start)
	}
	in.AddFrontend(part)
	slog.Info("fleet", "name", string(part.View().Self.Name), "listen", o.File.Fleet.ListenAddress, "seeds", len(o.File.Fleet.Config.Seeds), "keys", len(o.ClusterKeys))
	return func(o *life.OperatorConfig) {
		part.SetConfig(Told(&o.File.Fleet, config.Name, config.ListenAddr, o.ClusterKeys))
		if over != nil {
			in.Post(func() { over.SetConfig(o.File.Spillover.Config) })
		}
	}, nil
}

// instance speaks for an instance: what it says of itself comes from its core's loop.
type instance struct{ in *keep.Server }

func (i *instance) Status(then func(gossip.ProcessStatus)) {
	i.in.Post(func() {
		l := i.in.Load()
		health := 0.0
		if l.Healthy {
			health = 1
		}
		then(gossip.ProcessStatus{Ready: l.Ready, Draining: l.Draining, Metrics: []members.Metric{{Name: "health", Value: health}, {Name: "signal", Value: l.LoadReport},
			{Name: "held", Value: float64(l.Queued)}, {Name: "running", Value: float64(l.Running)}, {Name: "cores", Value: l.Cores}}})
	})
}

func (i *instance) Load(then func(float64, gossip.RequestStats)) {
	i.in.Post(func() {
		f := i.in.Stats()
		figures := gossip.RequestStats{Finished: float64(f.Answered), WithinObjective: float64(f.WithinObjective), TotalSeconds: f.TotalLatency.Seconds()}
		if l := i.in.Load(); l.Queued+l.Running > 0 {
			then(float64(l.Queued+l.Running), figures)
		} else {
			then(spread.IdleLoad(l.IdleFor), figures)
		}
	})
}

func (i *instance) Drain(number uint64) {
	i.in.Post(func() {
		slog.Info("permitted", "permit", number)
		i.in.Drain()
	})
}

func (i *instance) Fenced() { i.in.Post(i.in.Drain) }

// desked runs a desk.
func desked(operated, format string) error {
	return desks.Run(operated, format, func(d *desk.Server, o *life.OperatorConfig) (func(*life.OperatorConfig), error) {
		as := func(o *life.OperatorConfig) gossip.Config {
			f := o.File.Fleet
			f.Roles = members.RoleUpstream
			return Told(&f, "", "", o.ClusterKeys)
		}
		part, err := gossip.New(as(o), d, uint64(os.Getpid()))
		if err != nil {
			return nil, err
		}
		d.Attach(part)
		part.Start()
		return func(o *life.OperatorConfig) {
			part.SetConfig(as(o))
			d.SetConfig(o.File.Allocator.Config)
		}, nil
	})
}

// relayed runs a relay.
func relayed(operated, format string) error {
	return relays.Run(os.Getenv("RELAY_CONFIG"), operated, format, func(config keep.Config, o *life.OperatorConfig) (*relay.Proxy, func(*life.OperatorConfig), error) {
		fleet := o.File.Fleet
		fleet.Roles = fleet.Roles&^members.RoleServer | members.RoleProxy
		speaks := &relaying{}
		part, err := gossip.New(Told(&fleet, config.Name, config.ListenAddr, o.ClusterKeys), speaks, config.Seed)
		if err != nil {
			return nil, nil, err
		}
		r, err := relay.Listen(config, o.File.Proxy.Config, asks(part))
		if err != nil {
			return nil, nil, err
		}
		speaks.r = r
		seeing(part, r.Loop, r.UpdateView)
		r.Attach(part)
		slog.Info("fleet", "name", string(part.View().Self.Name), "listen", fleet.ListenAddress, "seeds", len(fleet.Config.Seeds), "keys", len(o.ClusterKeys))
		return r, func(o *life.OperatorConfig) {
			f := o.File.Fleet
			f.Roles = fleet.Roles
			part.SetConfig(Told(&f, config.Name, config.ListenAddr, o.ClusterKeys))
		}, nil
	})
}

// seeing has a part that belongs to a loop see each view. Views come by the dozen a second; a tenth of one late is far less than they are old.
func seeing(part *gossip.Agent, l *loop.Loop, see func(*members.View)) {
	var waits atomic.Bool
	part.Subscribe(func(*members.View) {
		if waits.CompareAndSwap(false, true) {
			l.Post(func() {
				l.ScheduleAt(l.Now()+100*time.Millisecond, func() {
					waits.Store(false)
					see(part.View())
				})
			})
		}
	})
}

// asks is how others are asked how they stand.
func asks(part *gossip.Agent) pass.ProbeFunc {
	return func(name members.Name, then func(float64, time.Duration)) {
		part.Post(func() { part.QueryLoad(name, then) })
	}
}

// relaying speaks for a relay.
type relaying struct{ r *relay.Proxy }

func (p *relaying) Status(then func(gossip.ProcessStatus)) {
	p.r.Post(func() {
		l := p.r.Load()
		then(gossip.ProcessStatus{Ready: l.Ready, Draining: l.Draining, Metrics: []members.Metric{{Name: "passing", Value: float64(l.Running)}}})
	})
}

func (p *relaying) Load(then func(float64, gossip.RequestStats)) {
	p.r.Post(func() { then(float64(p.r.Load().Running), gossip.RequestStats{}) })
}
func (p *relaying) Fenced()      { p.r.Post(p.r.Drain) }
func (p *relaying) Drain(uint64) { p.r.Post(p.r.Drain) }

// show prints how a process sees its fleet, and how far others' views are from its.
func show(f operator.Fleet, against []string, asJSON bool, out io.Writer) error {
	s, err := gossip.ReadSnapshot(f.StatusSocket, gossip.SnapshotFull)
	if err != nil {
		return fmt.Errorf("nobody answers at %s: %w", f.StatusSocket, err)
	}
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	fmt.Fprintf(out, "%s, incarnation %d, %s, reach %.2f, view %d\n", s.Name, s.Incarnation, s.LocalHealth, s.HeardFraction, s.ViewVersion)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tincarnation\tstate\twhy\tfor\tspoke\troles\tzone\trelease\tcores\tfacts")
	for _, m := range s.Members {
		var facts []string
		for _, key := range slices.Sorted(maps.Keys(m.Metrics)) {
			facts = append(facts, fmt.Sprintf("%s=%.3g", key, m.Metrics[key]))
		}
		if len(m.StaleMetrics) > 0 {
			facts = append(facts, "too old: "+strings.Join(m.StaleMetrics, " "))
		}
		ago := func(ms int64) time.Duration {
			return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t%v\t%s\t%s\t%s\t%g\t%s\n", m.Name, m.Incarnation, m.State, m.Reason, ago(m.InStateMillis), ago(m.SinceHeartbeatMillis), m.Roles, m.Zone, m.Release,
			m.Capacity, strings.Join(facts, " "))
	}
	w.Flush()
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		fmt.Fprintf(out, "%s %d\n", name, s.Counters[name])
	}
	for _, socket := range against {
		other, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
		if err != nil {
			fmt.Fprintf(out, "nobody answers at %s: %v\n", socket, err)
			continue
		}
		compare(s, other, out)
	}
	return nil
}

// compare prints on whom two views differ. Each holds itself to be here, which no view says.
func compare(a, b gossip.Snapshot, out io.Writer) {
	of := func(s gossip.Snapshot) map[string]string {
		all := map[string]string{s.Name: fmt.Sprint("up ", s.Incarnation)}
		for _, m := range s.Members {
			all[m.Name] = fmt.Sprint(m.State, " ", m.Incarnation)
		}
		return all
	}
	x, y := of(a), of(b)
	n := 0
	both := maps.Clone(x)
	maps.Copy(both, y)
	for _, name := range slices.Sorted(maps.Keys(both)) {
		if x[name] != y[name] {
			n++
			fmt.Fprintf(out, "%s: %s holds %q, %s holds %q\n", name, a.Name, x[name], b.Name, y[name])
		}
	}
	fmt.Fprintf(out, "%s and %s differ on %d of %d\n", a.Name, b.Name, n, len(both))
}

// rehearse carries a script out; with "check" in place of a record it only says what it would do.
func rehearse(d *operator.Drill, record, picture string, out io.Writer) (bad int, err error) {
	if record == "check" {
		for _, e := range drill.Timeline(d) {
			fmt.Fprintln(out, e)
		}
		return 0, nil
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	r, err := drill.Run(d, self, out)
	if err != nil {
		return 0, err
	}
	if record != "" {
		if err := r.Save(record); err != nil {
			return 0, err
		}
	}
	r.Table(out)
	for _, row := range r {
		if row.Kind == "violation" {
			bad++
		}
	}
	if bad == 0 {
		fmt.Fprintln(out, "all held")
	} else {
		fmt.Fprintf(out, "%d did not hold, seed %d\n", bad, d.RandomSeed)
	}
	if picture != "" {
		err = r.Draw(picture)
	}
	return bad, err
}

func shown(record, picture string, out io.Writer) error {
	r, err := drill.Open(record)
	if err != nil {
		return err
	}
	r.Table(out)
	if picture != "" {
		return r.Draw(picture)
	}
	return nil
}

func differ(a, b string, out io.Writer) error {
	x, err := drill.Open(a)
	if err != nil {
		return err
	}
	y, err := drill.Open(b)
	if err != nil {
		return err
	}
	drill.Differ(out, x, y)
	return nil
}
