package config

import (
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/membership"
)

// Fleet configures the process as a member of the fleet.
type Fleet struct {
	Enabled          bool
	Name             string // empty for the name of the instance
	Cluster          string
	ListenAddress    string
	AdvertiseAddress string
	ServiceAddress   string // the address where others reach the service; empty for the address where clients connect
	Roles            membership.Roles
	Zone             string
	Release          string
	Capacity         float64 // in cores
	WarmUp           time.Duration
	KeyFile          string
	ProbeInterval    time.Duration
	MaxMessageRate   float64 // per second
	StatusSocket     string  // empty for none
	DrainWhenFenced  bool
	RequirePermit    bool
	Config           membership.Config
}

func (r *reader) readFleet() Fleet {
	fleet := Fleet{
		Cluster:        "lanewheel",
		Capacity:       1,
		Roles:          membership.RoleServer,
		WarmUp:         5 * time.Second,
		ProbeInterval:  500 * time.Millisecond,
		MaxMessageRate: 2000,
		Config:         membership.DefaultConfig(),
	}
	s := r.section("fleet")
	fleet.Enabled = s.exists()
	s.readFleetAddresses(&fleet)
	s.readFleetIdentity(&fleet)
	s.requiredPath("key-file", &fleet.KeyFile)
	s.pathValue("status-socket", &fleet.StatusSocket)
	whenFenced := "serve"
	s.enumValue("when-fenced", &whenFenced, "serve", "drain")
	fleet.DrainWhenFenced = whenFenced == "drain"
	s.boolValue("require-permit", &fleet.RequirePermit)
	s.durationValue("probe-interval", &fleet.ProbeInterval, 50*time.Millisecond, time.Minute)
	s.floatValue("max-message-rate", &fleet.MaxMessageRate, 10, 1_000_000)
	s.readMembership(&fleet.Config)
	s.readFlapDamping(&fleet.Config.FlapDamping)
	s.readConnectivity(&fleet.Config.Connectivity)
	s.reportUnknownNames()
	return fleet
}

// readFleetAddresses reads the addresses of the process and those of the seeds, from which it learns of the other
// members.
func (s *section) readFleetAddresses(fleet *Fleet) {
	s.requiredString("listen", &fleet.ListenAddress)
	s.checkAddress("listen", fleet.ListenAddress)
	s.stringValue("advertise", &fleet.AdvertiseAddress)
	s.checkAddress("advertise", fleet.AdvertiseAddress)
	s.stringValue("service-address", &fleet.ServiceAddress)
	s.checkAddress("service-address", fleet.ServiceAddress)
	fleet.Config.Seeds = s.listValue("seeds")
	for _, seed := range fleet.Config.Seeds {
		s.checkAddress("seeds", seed)
	}
}

// readFleetIdentity reads the properties that the process announces about itself.
func (s *section) readFleetIdentity(fleet *Fleet) {
	const maxNameBytes = 64 // all properties of a member must fit into one packet
	for _, text := range []struct {
		name   string
		target *string
	}{
		{"name", &fleet.Name},
		{"zone", &fleet.Zone},
		{"release", &fleet.Release},
		{"cluster", &fleet.Cluster},
	} {
		s.stringValue(text.name, text.target)
		if len(*text.target) > maxNameBytes || strings.ContainsAny(*text.target, "@ \t") {
			s.report(text.name, *text.target, "must be at most 64 bytes without @, spaces or tabs")
		}
	}
	s.readRoles(&fleet.Roles)
	s.floatValue("capacity", &fleet.Capacity, 0.001, 100_000)
	s.durationValue("warm-up", &fleet.WarmUp, 0, time.Hour)
}

// readRoles reads the roles of the process in the fleet.
func (s *section) readRoles(target *membership.Roles) {
	text, _, _ := s.lookupWords("roles")
	names := splitList(text)
	if len(names) == 0 {
		return
	}
	var roles membership.Roles
	for _, name := range names {
		role, unknown := membership.ParseRoles([]string{storedRole(name)})
		if unknown != "" {
			s.report("roles", name, "must be one of "+strings.Join(memberRoles, ", "))
			return
		}
		roles |= role
	}
	*target = roles
}

// memberRoles are the words for roles in files.
var memberRoles = []string{"instance", "proxy", "coordinator", "upstream"}

// readMembership reads the settings for considering other members suspect or dead and for publishing metrics.
func (s *section) readMembership(config *membership.Config) {
	s.intValue("max-members", &config.MaxMembers, 2, 10_000)
	s.durationValue("dead-retention", &config.GoneRetention, time.Second, 24*time.Hour)
	s.durationValue("suspicion-delay", &config.SuspectAfter, 0, time.Minute)
	s.durationValue("dead-after", &config.GoneAfter, 0, time.Hour)
	s.durationValue("silent-after", &config.SilentAfter, time.Second, time.Hour)
	s.durationValue("stall-threshold", &config.StallThreshold, 300*time.Millisecond, time.Minute)
	s.durationValue("settle-time", &config.SettleTime, 100*time.Millisecond, time.Minute)
	s.durationValue("publish-interval", &config.HeartbeatInterval, 100*time.Millisecond, time.Minute)
	s.floatValue("max-publish-rate", &config.FleetHeartbeatRate, 1, 10_000)
	s.intValue("facts-per-message", &config.MaxMetrics, 1, 64)
}

// readFlapDamping reads the settings for suppressing members that repeatedly leave and return.
func (s *section) readFlapDamping(damping *membership.FlapDampingConfig) {
	s.floatValue("flap-suppress", &damping.SuppressLimit, 1, 100)
	s.floatValue("flap-reuse", &damping.ReuseLimit, 0.01, 100)
	damping.MaxPenalty = max(damping.MaxPenalty, 2*damping.SuppressLimit)
	if damping.ReuseLimit >= damping.SuppressLimit {
		s.report("flap-reuse", formatFloat(damping.ReuseLimit), "must be less than flap-suppress")
	}
	s.durationValue("flap-half-life", &damping.HalfLife, time.Second, time.Hour)
}

// readConnectivity reads the settings for detecting that the process is isolated from the fleet.
func (s *section) readConnectivity(connectivity *membership.ConnectivityConfig) {
	s.durationValue("contact-window", &connectivity.Window, 300*time.Millisecond, time.Minute)
	s.floatValue("degraded-threshold", &connectivity.DegradedBelow, 0.01, 1)
	s.floatValue("isolated-threshold", &connectivity.IsolatedBelow, 0.01, 1)
	if connectivity.IsolatedBelow > connectivity.DegradedBelow {
		s.report("isolated-threshold", formatFloat(connectivity.IsolatedBelow), "must be at most degraded-threshold")
	}
	s.durationValue("baseline-adapt-time", &connectivity.AdaptAfter, time.Second, time.Hour)
	s.durationValue("probe-timeout", &connectivity.AckTimeout, 500*time.Millisecond, time.Hour)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
