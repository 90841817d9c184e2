package config

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/amqp"
	"lanewheel/internal/balancer"
	"lanewheel/internal/coordination"
	"lanewheel/internal/setuptest"
)

var update = flag.Bool("update", false, "write the golden files anew from what the code reads")

// listing is what was read of a file, one "section.name = value" a line. The names are those of the settings, so
// that the listing stays the same whatever the fields that hold them are called.
type listing struct{ strings.Builder }

func (l *listing) add(name string, value any) {
	verb := "%v"
	switch t := reflect.TypeOf(value); {
	case t.Kind() == reflect.String, t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.String:
		verb = "%q"
	}
	fmt.Fprintf(l, "%s = "+verb+"\n", name, value)
}

// either is the word that stands in a file for a value that is held as a bool.
func either(on bool, yes, no string) string {
	if on {
		return yes
	}
	return no
}

func listFile(l *listing, f *Operator) {
	l.add("log.format", f.Log.Format)
	listCallers(l, &f.Callers)
	listTokens(l, &f.Tokens)
	listTLS(l, &f.TLS)
	listAMQP(l, &f.AMQP)
	listFleet(l, &f.Fleet)
	listProxy(l, &f.Proxy)
	listUpstream(l, &f.Upstream)
	listAllocator(l, &f.Allocator)
	listSpillover(l, &f.Spillover)
	listCoordinator(l, &f.Coordinator)
}

func listCallers(l *listing, c *Callers) {
	l.add("callers", c.Enabled)
	l.add("callers (rights)", c.Policy != nil)
	l.add("callers.anonymous", c.anonymousRoles)
	l.add("callers.writes", c.writeClasses)
	l.add("callers.entries", c.MaxRateEntries)
	for _, r := range c.Roles {
		name := "role " + string(r.Name)
		l.add(name+".tenants", r.Tenants)
		l.add(name+".types", r.Classes)
		l.add(name+".may (read)", r.CanRead)
		l.add(name+".may (write)", r.CanWrite)
		l.add(name+".rate", r.RatePerSecond)
		l.add(name+".burst", r.Burst)
		l.add(name+".open", r.MaxInFlight)
	}
	for _, c := range c.Bindings {
		name := "caller " + c.Name
		l.add(name+".match", c.Patterns)
		l.add(name+".tenant", c.Tenant)
		l.add(name+".roles", c.Roles)
	}
}

func listTokens(l *listing, t *Tokens) {
	l.add("tokens", t.Enabled)
	l.add("tokens.keys", t.KeyDir)
	l.add("tokens.issuer", t.Policy.Issuer)
	l.add("tokens.audience", t.Policy.Audience)
	l.add("tokens.leeway", t.Policy.Leeway)
	l.add("tokens.longest", t.Policy.MaxBytes)
	l.add("tokens.tenant-claim", t.Policy.TenantClaim)
	l.add("tokens.roles-claim", t.Policy.RolesClaim)
	l.add("tokens.revoked", t.RevocationFile)
	l.add("tokens.single-use", t.Policy.SingleUse)
	l.add("tokens.single-use-remembered", t.Limits.MaxSingleUseIDs)
	l.add("tokens.remembered", t.Limits.MaxCached)
	l.add("tokens.waiting", t.Limits.MaxWaiting)
	l.add("tokens.share", t.Limits.CPUFraction)
	l.add("tokens.look-every", t.Limits.KeyReloadInterval)
}

func listTLS(l *listing, t *TLS) {
	l.add("tls", t.Enabled)
	l.add("tls.listen", t.ListenAddress)
	l.add("tls.certificate", t.CertificateFile)
	l.add("tls.key", t.KeyFile)
	l.add("tls.authorities", t.AuthoritiesFile)
	l.add("tls.revoked", t.RevocationFile)
	l.add("tls.revoked-grace", t.RevocationGrace)
	l.add("tls.stale-list", either(t.AllowStaleRevocations, "allow", "deny"))
	l.add("tls.clients", either(t.RequireClientCertificate, "required", "asked"))
	l.add("tls.oldest", t.MinVersion)
	l.add("tls.handshakes", t.MaxHandshakes)
	l.add("tls.handshake-rate", t.HandshakeRate)
}

func listAMQP(l *listing, a *AMQP) {
	l.add("amqp", a.Enabled)
	l.add("amqp.brokers", a.Config.BrokerURLs)
	l.add("amqp.login", a.LoginFile)
	l.add("amqp.authorities", a.AuthoritiesFile)
	l.add("amqp.certificate", a.CertificateFile)
	l.add("amqp.key", a.KeyFile)
	l.add("amqp.in-hand", a.Config.MaxInFlight)
	l.add("amqp.retry-share", a.Config.RetryFraction)
	l.add("amqp.unstarted-rate", a.Config.UnstartedRate)
	l.add("amqp.remembered", a.Config.MaxRemembered)
	l.add("amqp.remembered-for", a.Config.RememberedFor)
	l.add("amqp.heartbeat", a.Config.HeartbeatInterval)
	l.add("amqp.watch", a.Config.StatusSocket)
	source := func(s amqp.Source) string { return either(s.Header, "header:", "") + s.Name }
	for _, q := range a.Config.Queues {
		name := "queue " + string(q.Name)
		l.add(name+".weight", q.Weight)
		l.add(name+".priority", q.Priority)
		l.add(name+".floor", q.MinInFlight)
		l.add(name+".most", q.MaxInFlight)
		l.add(name+".identity", q.Identity)
		l.add(name+".attempts", q.Settlement.MaxAttempts)
		l.add(name+".retry-queue", q.Settlement.UseRetryQueue)
		l.add(name+".retry-delay", q.Settlement.RetryQueueDelay)
		l.add(name+".dead-letters", q.DeadLetterQueue)
		l.add(name+".dead-letters (told)", q.Settlement.DeadLetter)
		l.add(name+" (answers)", q.Settlement.Reply)
		l.add(name+".wait", q.Mapping.DefaultWait)
		l.add(name+".longest", q.Mapping.MaxBodyBytes)
		l.add(name+".type", source(q.Mapping.Class))
		l.add(name+".tenant", source(q.Mapping.Tenant))
		l.add(name+".subject", source(q.Mapping.Subject))
		l.add(name+".rank", source(q.Mapping.Rank))
		l.add(name+".cost", source(q.Mapping.Cost))
		l.add(name+".kb", source(q.Mapping.KB))
		l.add(name+".token", source(q.Mapping.Token))
		l.add(name+".rank-default", q.Mapping.DefaultRank)
		l.add(name+".kb-default", q.Mapping.DefaultKB)
	}
}

func listFleet(l *listing, f *Fleet) {
	l.add("fleet", f.Enabled)
	l.add("fleet.name", f.Name)
	l.add("fleet.cluster", f.Cluster)
	l.add("fleet.listen", f.ListenAddress)
	l.add("fleet.advertise", f.AdvertiseAddress)
	l.add("fleet.serves", f.ServiceAddress)
	l.add("fleet.seeds", f.Config.Seeds)
	l.add("fleet.roles", f.Roles)
	l.add("fleet.roles (bits)", uint(f.Roles))
	l.add("fleet.zone", f.Zone)
	l.add("fleet.release", f.Release)
	l.add("fleet.capacity", f.Capacity)
	l.add("fleet.warm-up", f.WarmUp)
	l.add("fleet.keys", f.KeyFile)
	l.add("fleet.watch", f.StatusSocket)
	l.add("fleet.fenced", either(f.DrainWhenFenced, "leave", "serve"))
	l.add("fleet.permits", f.RequirePermit)
	l.add("fleet.call-every", f.ProbeInterval)
	l.add("fleet.messages", f.MaxMessageRate)
	t := &f.Config
	l.add("fleet.members", t.MaxMembers)
	l.add("fleet.gone-kept", t.GoneRetention)
	l.add("fleet.doubt", t.SuspectAfter)
	l.add("fleet.gone-after", t.GoneAfter)
	l.add("fleet.mute-after", t.SilentAfter)
	l.add("fleet.stall", t.StallThreshold)
	l.add("fleet.settle", t.SettleTime)
	l.add("fleet.facts-every", t.HeartbeatInterval)
	l.add("fleet.facts-rate", t.FleetHeartbeatRate)
	l.add("fleet.facts", t.MaxMetrics)
	l.add("fleet.flaps", t.FlapDamping.SuppressLimit)
	l.add("fleet.flaps-over", t.FlapDamping.ReuseLimit)
	l.add("fleet.flaps (counted at the most)", t.FlapDamping.MaxPenalty)
	l.add("fleet.flaps-half", t.FlapDamping.HalfLife)
	l.add("fleet.hearing", t.Connectivity.Window)
	l.add("fleet.thin-at", t.Connectivity.DegradedBelow)
	l.add("fleet.cut-off-at", t.Connectivity.IsolatedBelow)
	l.add("fleet.adapt", t.Connectivity.AdaptAfter)
	l.add("fleet.unanswered", t.Connectivity.AckTimeout)
}

// listBalancer lists what holds of every choice among members or services; the names that stand in [relay] alone are
// the last ones.
func listBalancer(l *listing, name string, t *balancer.Config) {
	l.add(name+" (zone)", t.LocalZone)
	l.add(name+".near", t.LocalZoneUtilization)
	l.add(name+".trickle", t.OutlierWeight)
	l.add(name+".bad-share", t.MaxOutlierFraction)
	l.add(name+".memory", t.OutcomeHalfLife)
	l.add(name+".way", t.Policy)
	l.add(name+".choices", t.ChoiceCount)
	l.add(name+".fades", t.LoadHalfLife)
	l.add(name+".believed", t.LoadMaxAge)
	l.add(name+".retry-share", t.RetryRatio)
	l.add(name+".retry-saved", t.RetryBurst)
}

func listProxy(l *listing, r *Proxy) {
	l.add("relay", r.Enabled)
	t := &r.Config
	listBalancer(l, "relay", &t.Balancer)
	l.add("relay (dials from)", t.LocalAddress)
	l.add("relay.asks", t.ProbesPerRequest)
	l.add("relay.in-hand", t.MaxInFlight)
	l.add("relay.connections", t.ConnectionsPerEndpoint)
	l.add("relay.subset", t.SubsetSize)
	l.add("relay.unused", t.IdleTimeout)
	l.add("relay.grace", t.DrainGrace)
	l.add("relay.come-back", t.RetryAfter)
}

func listUpstream(l *listing, b *Upstream) {
	l.add("below", b.Enabled)
	listBalancer(l, "below", &b.Config.Balancer)
	l.add("below.services", b.Config.Addresses)
	l.add("below.calls", b.Config.MaxCalls)
	l.add("below.longest", b.Config.MaxCallDuration)
}

func listAllocator(l *listing, g *Allocator) {
	l.add("grants", g.Enabled)
	l.add("grants.lock", g.LockFile)
	l.add("grants.cap", g.Config.Capacity)
	l.add("grants.alone", g.Config.UnleasedCalls)
	l.add("grants.processes", g.Config.MaxProcesses)
	l.add("grants.holds", g.Config.LeaseDuration)
	l.add("grants.longest", g.Config.MaxCallDuration)
	l.add("grants.drift", g.Config.MaxClockDrift)
	l.add("grants.holders", g.Config.MaxHolders)
}

func listSpillover(l *listing, h *Spillover) {
	l.add("handover", h.Enabled)
	listBalancer(l, "handover", &h.Config.Balancer)
	l.add("handover (dials from)", h.Config.LocalAddress)
	l.add("handover (asks)", h.Config.ProbesPerRequest)
	l.add("handover (subset)", h.Config.SubsetSize)
	l.add("handover.share", h.Config.Spillover.BudgetRatio)
	l.add("handover.saved", h.Config.Spillover.BudgetBurst)
	l.add("handover.full", h.Config.Spillover.SaturatedLoad)
	l.add("handover.most-full", h.Config.Spillover.MaxSaturatedFraction)
	l.add("handover.fresh", h.Config.Spillover.ReportMaxAge)
	l.add("handover.connections", h.Config.ConnectionsPerEndpoint)
	l.add("handover.unused", h.Config.IdleTimeout)
}

func listCoordinator(l *listing, s *Coordinator) {
	l.add("steward", s.Enabled)
	t := &s.Config
	l.add("steward (name)", t.Name)
	l.add("steward.listen", t.ListenAddr)
	l.add("steward.at", t.AdvertiseAddr)
	l.add("steward (dials from)", t.LocalIP)
	l.add("steward.stewards", t.Coordinators)
	l.add("steward.folder", t.DataDir)
	l.add("steward.beat", t.HeartbeatTimeout)
	l.add("steward.restart", t.RestartCommand)
	l.add("steward.restart-within", t.RestartTimeout)
	l.add("steward.restart-output", t.RestartOutputLimit)
	l.add("steward.snapshot-every", t.SnapshotThreshold)
	l.add("steward.history", t.Coordination.MaxHistory)
	l.add("steward.waiting", t.Coordination.MaxQueuedPermits)
	l.add("steward.passed-over", t.Coordination.MaxOvertakes)
	l.add("steward.stuck-after", t.Coordination.StalledAfter)
	l.add("steward.wrong", t.Canary.ErrorRate)
	l.add("steward.late", t.Canary.DetectableLateIncrease)
	l.add("steward.slow", t.Canary.DetectableSlowdown)
	l.add("steward.windows", t.Canary.MinWindows)
	l.add("steward.window-ops", t.Canary.MinRequests)
	l.add("steward.crashes", t.Canary.CrashLimit)
	l.add("steward.window", t.AnalysisWindow)
	l.add("steward.asked", t.SampleSize)
}

func listDrill(l *listing, d *Drill) {
	l.add("drill.processes", d.Instances)
	l.add("drill.relays", d.Proxies)
	l.add("drill.desks", d.Allocators)
	l.add("drill.stewards", d.Coordinators)
	l.add("drill.calls-take", d.UpstreamCallDuration)
	l.add("drill.seed-processes", d.SeedMembers)
	l.add("drill.stubs", d.Clients)
	l.add("drill.seed", d.RandomSeed)
	l.add("drill.for", d.LoadDuration)
	l.add("drill.start", d.StartupDuration)
	l.add("drill.settle", d.SettleTimeout)
	l.add("drill.rate", d.RequestRate)
	l.add("drill.mean", d.MeanRunTime)
	l.add("drill.memory-mb", d.MaxMemoryMB)
	l.add("drill.zones", d.Zones)
	l.add("drill.releases", d.Releases)
	for _, s := range []struct {
		name string
		all  [][2]string
	}{{"members", d.FleetSettings}, {"relaying", d.ProxySettings}, {"calling", d.UpstreamSettings}, {"granting", d.AllocatorSettings}, {"stewarding",
		d.CoordinatorSettings}, {"handing", d.SpilloverSettings}} {
		for _, pair := range s.all {
			l.add(s.name+"."+pair[0], pair[1])
		}
	}
	l.add("handing", d.SpilloverEnabled)
	l.add("bad-release.release", d.BadRelease.Release)
	l.add("bad-release.slow", d.BadRelease.RunTimeFactor)
	l.add("bad-release.fails", d.BadRelease.FailRuns)
	l.add("bad-release.crashes-after", d.BadRelease.CrashAfter)
	l.add("bad-release.never-up", d.BadRelease.NeverReady)
	l.add("agreed.ends-on", d.FinalRelease)
	l.add("agreed.ever-on", d.LimitedRelease)
	l.add("agreed.ever-on-most", d.MaxLimitedFraction)
	l.add("even", d.Balance.Enabled)
	l.add("even.most", d.Balance.MaxImbalance)
	l.add("even.idle", d.Balance.MaxIdleGaps)
	l.add("even.back", d.Balance.RecoveryTime)
	group := func(g DrillSelector) string {
		return fmt.Sprintf("%v %q count %d share %v", g.Kind, g.Name, g.Count, g.Fraction)
	}
	for _, f := range d.Faults {
		name := "fault " + f.Name
		l.add(name+".do", f.Action)
		l.add(name+".at", fmt.Sprint(f.Earliest, " ", f.Latest))
		l.add(name+".for", f.Duration)
		l.add(name+".on", group(f.Targets))
		l.add(name+".from", group(f.From))
		l.add(name+".to", group(f.To))
		l.add(name+".both", f.Bidirectional)
		l.add(name+".share", f.Fraction)
		l.add(name+".factor", f.Factor)
		l.add(name+".command", f.Command)
		l.add(name+".delay", f.Delay)
		l.add(name+".jitter", f.Jitter)
		l.add(name+".rate", f.BytesPerSecond)
		l.add(name+".keys", f.KeyNumbers)
		l.add(name+".seeds", f.SeedMembers)
		l.add(name+".none-gone", f.ForbidEviction)
		l.add(name+".refuses", f.AllowUnanswered)
	}
}

func listSelector(l *listing, before string, g coordination.Selector) {
	l.add(before+"zone", g.Zone)
	l.add(before+"release", g.Release)
	l.add(before+"role", g.Role)
	l.add(before+"below", g.Upstream)
}

func listBudgets(l *listing, all []coordination.DisruptionBudget) {
	for _, b := range all {
		name := "budget " + b.Name + "."
		listSelector(l, name, b.Selector)
		l.add(name+"most", b.MaxUnavailable)
		l.add(name+"share", b.MaxUnavailableFraction)
		l.add(name+"least-capacity", b.MinAvailableCapacity)
	}
}

func listRollout(l *listing, p *coordination.RolloutPlan) {
	l.add("release.name", p.Name)
	l.add("release.to", p.TargetRelease)
	listSelector(l, "release.of-", p.Selector)
	for i, w := range p.Waves {
		l.add(fmt.Sprint("release.waves ", i), fmt.Sprintf("count %d share %v zone %q", w.Count, w.Fraction, w.Zone))
	}
	l.add("release.pause", p.Pause)
	l.add("release.judged", p.AnalysisRequired)
	l.add("release.back-faster", p.RollbackWavesAtOnce)
	l.add("release.tries", p.MaxAttempts)
}

// listGolden lists one of the golden files as its kind, which its name tells.
func listGolden(t *testing.T, l *listing, path string, text []byte) {
	t.Helper()
	name := filepath.Base(path)
	path = "etc/" + name // so that the golden listings name no other folder
	switch {
	case strings.HasPrefix(name, "drill-"):
		d, err := ParseDrill(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listDrill(l, &d)
	case strings.HasPrefix(name, "agreed-budgets"):
		all, err := ParseBudgets(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listBudgets(l, all)
	case strings.HasPrefix(name, "agreed-plan"):
		p, err := ParseRollout(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listRollout(l, &p)
	default:
		f, err := Parse(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listFile(l, &f)
	}
}

// compare compares a listing with the one beside its file, or with -update writes that.
func compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := strings.Split(string(setuptest.Must(os.ReadFile(path))), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("%s:%d: reads as\n%s\nwant\n%s", path, i+1, line, want[min(i, len(want)-1)])
		}
	}
	if strings.Count(got, "\n")+1 != len(want) {
		t.Fatalf("%s: %d lines, want %d", path, strings.Count(got, "\n")+1, len(want))
	}
}

// The files that were shipped, and files that say everything there is, are read as they always were: each setting
// by its name.
func TestGoldenFiles(t *testing.T) {
	files := setuptest.Must(filepath.Glob("testdata/golden/*.ini"))
	if len(files) < 25 {
		t.Fatalf("%d golden files", len(files))
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var l listing
			listGolden(t, &l, path, setuptest.Must(os.ReadFile(path)))
			compare(t, strings.TrimSuffix(path, ".ini")+".golden", l.String())
		})
	}
}

// Without a file, and with an empty one, what holds is as it always was.
func TestGoldenDefaults(t *testing.T) {
	var l listing
	f := setuptest.Must(Load(""))
	listFile(&l, &f)
	compare(t, "testdata/golden/without-file.golden", l.String())
	l.Reset()
	f = setuptest.Must(Parse("etc/empty.ini", nil))
	listFile(&l, &f)
	compare(t, "testdata/golden/empty-file.golden", l.String())
}

// Values that are set in place of a script's.
func TestGoldenSet(t *testing.T) {
	text := setuptest.Must(os.ReadFile("testdata/golden/drill-release-bad.ini"))
	d := setuptest.Must(ParseDrill("etc/x", text, "bad-release.slow=1", "bad-release.crashes-after=8s", "drill.for=60s",
		"relaying.way=random"))
	if d.BadRelease.RunTimeFactor != 1 || d.BadRelease.CrashAfter != 8*time.Second || d.LoadDuration != time.Minute ||
		fmt.Sprint(d.ProxySettings) != "[[way random]]" {
		t.Fatalf("%+v", d)
	}
}

// A file of cluster keys: one a line in base64, the one to write with first.
func TestGoldenClusterKeys(t *testing.T) {
	keys := setuptest.Must(ParseClusterKeys("cluster-keys", setuptest.Must(os.ReadFile("testdata/golden/cluster-keys.txt"))))
	var want [3][]byte
	for i, size := range []int{16, 24, 32} {
		for n := range size {
			want[i] = append(want[i], byte(i*32+n))
		}
	}
	if len(keys) != 3 {
		t.Fatalf("%d keys", len(keys))
	}
	for i, key := range keys {
		if string(key) != string(want[i]) {
			t.Errorf("key %d: %x, want %x", i, key, want[i])
		}
	}
}
