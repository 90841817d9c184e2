package operator

import (
	"cmp"
	"encoding/base64"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/fault"
	"lanewheel/internal/members"
)

// Fleet is the process's place among the others.
type Fleet struct {
	On        bool
	Name      string // empty: the instance's
	Cluster   string
	Listen    string
	Advertise string
	Serves    string // where others reach what it serves; empty: where it listens for stubs
	Roles     members.Roles
	Zone      string
	Release   string
	Capacity  float64
	Warm      time.Duration
	Keys      string // a file
	Probe     time.Duration
	Rate      float64
	Watch     string
	Leaves    bool
	Permits   bool
	Told      members.Told
}

func (r *reader) fleet() Fleet {
	f := Fleet{Cluster: "lanewheel", Capacity: 1, Roles: members.Instance, Told: members.Usual()}
	s := r.section("fleet")
	f.On = s.given()
	s.text("name", &f.Name)
	s.text("cluster", &f.Cluster)
	s.wanted("listen", &f.Listen)
	s.address("listen", f.Listen)
	s.text("advertise", &f.Advertise)
	s.address("advertise", f.Advertise)
	f.Told.Seeds = s.list("seeds")
	for _, seed := range f.Told.Seeds {
		s.address("seeds", seed)
	}
	if names := s.list("roles"); len(names) > 0 {
		var bad string
		if f.Roles, bad = members.ReadRoles(names); bad != "" {
			s.wrong("roles", bad, "wants some of instance, relay, steward, below")
		}
	}
	s.text("serves", &f.Serves)
	s.address("serves", f.Serves)
	s.text("zone", &f.Zone)
	s.text("release", &f.Release)
	const longest = 64 // bytes: what a member says of itself goes into one packet
	for name, value := range map[string]string{"name": f.Name, "zone": f.Zone, "release": f.Release, "cluster": f.Cluster} {
		if len(value) > longest || strings.ContainsAny(value, "@ \t") {
			s.wrong(name, value, "wants up to 64 bytes without @ or blanks")
		}
	}
	s.number("capacity", &f.Capacity, 0.001, 100_000)
	f.Warm = 5 * time.Second // from ready to the full pace: caches and connections of a fresh process
	s.span("warm-up", &f.Warm, 0, time.Hour)
	s.file("keys", &f.Keys)
	s.path("watch", &f.Watch)
	fenced := "serve"
	s.word("fenced", &fenced, "serve", "leave")
	f.Leaves = fenced == "leave"
	s.flag("permits", &f.Permits)
	f.Probe = 500 * time.Millisecond // two calls a second: at rest some 2 KB a second
	s.span("call-every", &f.Probe, 50*time.Millisecond, time.Minute)
	f.Rate = 2000 // a second: a tenth of a core; 1,000 members say some hundred
	s.number("messages", &f.Rate, 10, 1_000_000)
	t := &f.Told
	s.count("members", &t.Most, 2, 10_000)
	s.span("gone-kept", &t.GoneFor, time.Second, 24*time.Hour)
	s.span("doubt", &t.Doubt, 0, time.Minute)
	s.span("gone-after", &t.GoneAfter, 0, time.Hour)
	s.span("mute-after", &t.MuteAfter, time.Second, time.Hour)
	s.span("stall", &t.Stall, 300*time.Millisecond, time.Minute)
	s.span("settle", &t.Settle, 100*time.Millisecond, time.Minute)
	s.span("facts-every", &t.FactsEvery, 100*time.Millisecond, time.Minute)
	s.number("facts-rate", &t.FactsRate, 1, 10_000)
	s.count("facts", &t.Facts, 1, 64)
	s.number("flaps", &t.Damp.At, 1, 100)
	s.number("flaps-over", &t.Damp.Under, 0.01, 100)
	t.Damp.Most = max(t.Damp.Most, 2*t.Damp.At)
	if t.Damp.Under >= t.Damp.At {
		s.wrong("flaps-over", strconv.FormatFloat(t.Damp.Under, 'g', -1, 64), "wants less than flaps")
	}
	s.span("flaps-half", &t.Damp.Half, time.Second, time.Hour)
	s.span("hearing", &t.Ear.Window, 300*time.Millisecond, time.Minute)
	s.number("thin-at", &t.Ear.ThinAt, 0.01, 1)
	s.number("cut-off-at", &t.Ear.CutAt, 0.01, 1)
	if t.Ear.CutAt > t.Ear.ThinAt {
		s.wrong("cut-off-at", strconv.FormatFloat(t.Ear.CutAt, 'g', -1, 64), "wants thin-at or less")
	}
	s.span("adapt", &t.Ear.Adapt, time.Second, time.Hour)
	s.span("unanswered", &t.Ear.Answers, 500*time.Millisecond, time.Hour)
	s.close()
	return f
}

// address checks an address in figures. Danger: a name would be looked up, and where there is nobody to ask that hangs.
func (s *section) address(name, value string) {
	if value == "" {
		return
	}
	host, port, err := net.SplitHostPort(value)
	n, bad := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || bad != nil || n < 1 || n > 65535 {
		s.wrong(name, value, "wants an address in figures and a port, as 10.0.0.7:7946")
	}
}

// ReadClusterKeys reads the text of a file of keys: one a line, 16, 24 or 32 bytes in base64, the one to write with first.
func ReadClusterKeys(path string, text []byte) ([]members.Key, error) {
	var keys []members.Key
	var faults fault.List
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		k, err := base64.StdEncoding.DecodeString(line)
		// never what stands there
		switch n := len(k); {
		case err != nil || n != 16 && n != 24 && n != 32:
			faults = append(faults, fault.Fault{File: path, Line: i + 1, Want: "wants 16, 24 or 32 bytes in base64"})
		case slices.ContainsFunc(keys, func(x members.Key) bool { return string(x) == string(k) }):
			faults = append(faults, fault.Fault{File: path, Line: i + 1, Want: "stands there already"})
		default:
			keys = append(keys, k)
		}
	}
	const most = 8 // each message that is not ours is tried with all of them
	if len(keys) == 0 && len(faults) == 0 || len(keys) > most {
		faults = append(faults, fault.Fault{File: path, Want: "wants from 1 to 8 keys"})
	}
	slices.SortFunc(faults, func(a, b fault.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return keys, faults.Err()
}
