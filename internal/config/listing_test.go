package config

import (
	"fmt"
	"reflect"
	"strings"

	"lanewheel/internal/amqp"
	"lanewheel/internal/balancer"
)

// listing is the content of a file as it was parsed, with one "section.name = value" per line. It uses the earliest
// names of the settings, so that it does not change if settings or fields are renamed.
type listing struct{ strings.Builder }

func (l *listing) add(name string, value any) {
	verb := "%v"
	switch t := reflect.TypeOf(value); {
	case t.Kind() == reflect.String, t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.String:
		verb = "%q"
	}
	_, _ = fmt.Fprintf(l, "%s = "+verb+"\n", name, value)
}

// boolWord returns the word that a file uses for a value that is stored as a bool.
func boolWord(on bool, yes, no string) string {
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
	l.add("tls.stale-list", boolWord(t.AllowStaleRevocations, "allow", "deny"))
	l.add("tls.clients", boolWord(t.RequireClientCertificate, "required", "asked"))
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
	source := func(s amqp.Source) string { return boolWord(s.Header, "header:", "") + s.Name }
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
		l.add(name+".wait", q.Mapping.DefaultTimeout)
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
	l.add("fleet.fenced", boolWord(f.DrainWhenFenced, "leave", "serve"))
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

// listBalancer lists the balancer settings of a section. A file can set those from way to retry-saved in [relay] only.
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
