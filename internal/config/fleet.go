package config

import (
	"cmp"
	"encoding/base64"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/membership"
)

// Fleet is the process's place among the others.
type Fleet struct {
	Enabled          bool
	Name             string // empty: the instance's
	Cluster          string
	ListenAddress    string
	AdvertiseAddress string
	ServiceAddress   string // where others reach what it serves; empty: where it listens for stubs
	Roles            membership.Roles
	Zone             string
	Release          string
	Capacity         float64
	WarmUp           time.Duration
	KeyFile          string // a file
	ProbeInterval    time.Duration
	MaxMessageRate   float64
	StatusSocket     string
	DrainWhenFenced  bool
	RequirePermit    bool
	Config           membership.Config
}

func (r *reader) readFleet() Fleet {
	f := Fleet{Cluster: "lanewheel", Capacity: 1, Roles: membership.RoleServer, Config: membership.DefaultConfig()}
	s := r.section("fleet")
	f.Enabled = s.exists()
	s.stringValue("name", &f.Name)
	s.stringValue("cluster", &f.Cluster)
	s.requiredString("listen", &f.ListenAddress)
	s.checkAddress("listen", f.ListenAddress)
	s.stringValue("advertise", &f.AdvertiseAddress)
	s.checkAddress("advertise", f.AdvertiseAddress)
	f.Config.Seeds = s.listValue("seeds")
	for _, seed := range f.Config.Seeds {
		s.checkAddress("seeds", seed)
	}
	if names := s.listValue("roles"); len(names) > 0 {
		var unknownRole string
		if f.Roles, unknownRole = membership.ParseRoles(names); unknownRole != "" {
			s.report("roles", unknownRole, "wants some of instance, relay, steward, below")
		}
	}
	s.stringValue("serves", &f.ServiceAddress)
	s.checkAddress("serves", f.ServiceAddress)
	s.stringValue("zone", &f.Zone)
	s.stringValue("release", &f.Release)
	const maxNameBytes = 64 // bytes: what a member says of itself goes into one packet
	for name, value := range map[string]string{"name": f.Name, "zone": f.Zone, "release": f.Release, "cluster": f.Cluster} {
		if len(value) > maxNameBytes || strings.ContainsAny(value, "@ \t") {
			s.report(name, value, "wants up to 64 bytes without @ or blanks")
		}
	}
	s.floatValue("capacity", &f.Capacity, 0.001, 100_000)
	f.WarmUp = 5 * time.Second // from ready to the full pace: caches and connections of a fresh process
	s.durationValue("warm-up", &f.WarmUp, 0, time.Hour)
	s.requiredPath("keys", &f.KeyFile)
	s.pathValue("watch", &f.StatusSocket)
	whenFenced := "serve"
	s.enumValue("fenced", &whenFenced, "serve", "leave")
	f.DrainWhenFenced = whenFenced == "leave"
	s.boolValue("permits", &f.RequirePermit)
	f.ProbeInterval = 500 * time.Millisecond // two calls a second: at rest some 2 KB a second
	s.durationValue("call-every", &f.ProbeInterval, 50*time.Millisecond, time.Minute)
	f.MaxMessageRate = 2000 // a second: a tenth of a core; 1,000 members say some hundred
	s.floatValue("messages", &f.MaxMessageRate, 10, 1_000_000)
	config := &f.Config
	s.intValue("members", &config.MaxMembers, 2, 10_000)
	s.durationValue("gone-kept", &config.GoneRetention, time.Second, 24*time.Hour)
	s.durationValue("doubt", &config.SuspectAfter, 0, time.Minute)
	s.durationValue("gone-after", &config.GoneAfter, 0, time.Hour)
	s.durationValue("mute-after", &config.SilentAfter, time.Second, time.Hour)
	s.durationValue("stall", &config.StallThreshold, 300*time.Millisecond, time.Minute)
	s.durationValue("settle", &config.SettleTime, 100*time.Millisecond, time.Minute)
	s.durationValue("facts-every", &config.HeartbeatInterval, 100*time.Millisecond, time.Minute)
	s.floatValue("facts-rate", &config.FleetHeartbeatRate, 1, 10_000)
	s.intValue("facts", &config.MaxMetrics, 1, 64)
	s.floatValue("flaps", &config.FlapDamping.SuppressLimit, 1, 100)
	s.floatValue("flaps-over", &config.FlapDamping.ReuseLimit, 0.01, 100)
	config.FlapDamping.MaxPenalty = max(config.FlapDamping.MaxPenalty, 2*config.FlapDamping.SuppressLimit)
	if config.FlapDamping.ReuseLimit >= config.FlapDamping.SuppressLimit {
		s.report("flaps-over", strconv.FormatFloat(config.FlapDamping.ReuseLimit, 'g', -1, 64), "wants less than flaps")
	}
	s.durationValue("flaps-half", &config.FlapDamping.HalfLife, time.Second, time.Hour)
	s.durationValue("hearing", &config.Connectivity.Window, 300*time.Millisecond, time.Minute)
	s.floatValue("thin-at", &config.Connectivity.DegradedBelow, 0.01, 1)
	s.floatValue("cut-off-at", &config.Connectivity.IsolatedBelow, 0.01, 1)
	if config.Connectivity.IsolatedBelow > config.Connectivity.DegradedBelow {
		s.report("cut-off-at", strconv.FormatFloat(config.Connectivity.IsolatedBelow, 'g', -1, 64), "wants thin-at or less")
	}
	s.durationValue("adapt", &config.Connectivity.AdaptAfter, time.Second, time.Hour)
	s.durationValue("unanswered", &config.Connectivity.AckTimeout, 500*time.Millisecond, time.Hour)
	s.reportUnknownNames()
	return f
}

// checkAddress checks an address in figures. Danger: a name would be looked up, and where there is nobody to ask that hangs.
func (s *section) checkAddress(name, value string) {
	if value == "" {
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		s.report(name, value, "wants an address in figures and a port, as 10.0.0.7:7946")
	}
}

// ParseClusterKeys reads the text of a file of keys: one a line, 16, 24 or 32 bytes in base64, the one to write with first.
func ParseClusterKeys(path string, text []byte) ([]membership.Key, error) {
	var keys []membership.Key
	var diagnostics diagnostic.List
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		// never what stands there
		switch n := len(key); {
		case err != nil || n != 16 && n != 24 && n != 32:
			diagnostics = append(diagnostics, diagnostic.Diagnostic{File: path, Line: i + 1, Want: "wants 16, 24 or 32 bytes in base64"})
		case slices.ContainsFunc(keys, func(x membership.Key) bool { return string(x) == string(key) }):
			diagnostics = append(diagnostics, diagnostic.Diagnostic{File: path, Line: i + 1, Want: "stands there already"})
		default:
			keys = append(keys, key)
		}
	}
	const maxKeys = 8 // each message that is not ours is tried with all of them
	if len(keys) == 0 && len(diagnostics) == 0 || len(keys) > maxKeys {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{File: path, Want: "wants from 1 to 8 keys"})
	}
	slices.SortFunc(diagnostics, func(a, b diagnostic.Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return keys, diagnostics.Err()
}
