package membership

import (
	"time"
)

// ConnectivityConfig is what is told of hearing.
type ConnectivityConfig struct {
	Window        time.Duration // in which senders are counted, in slots
	DegradedBelow float64       // of the usual
	IsolatedBelow float64
	AdaptAfter    time.Duration // after so long what is heard becomes the usual, whatever it is
	AckTimeout    time.Duration // without an answer for so long, nobody hears us
}

// Config is what the decisions go by.
type Config struct {
	MaxMembers         int           // members kept, in whatever state; the gone are forgotten first
	GoneRetention      time.Duration // how long a gone one is remembered
	SuspectAfter       time.Duration // from the detector's word to suspect: a wrongful word is taken back within it
	GoneAfter          time.Duration // from suspect to gone
	SilentAfter        time.Duration // without a bulletin from one that serves, beyond what its facts hold for
	StallThreshold     time.Duration // between two looks: longer, and we stood still
	SettleTime         time.Duration // after waking, until what we believe is worth something again
	HeartbeatInterval  time.Duration // between two bulletins of a member, in a small fleet
	FleetHeartbeatRate float64       // bulletins a second in the whole fleet, in a large one
	MaxMetrics         int           // of a member
	FlapDamping        FlapDampingConfig
	Connectivity       ConnectivityConfig
	Seeds              []string
}

// FlapDampingConfig is how those that come and go are held back.
type FlapDampingConfig struct {
	SuppressLimit float64       // returns, aging, from which a member is no longer taken back at once
	ReuseLimit    float64       // and under which it is again
	MaxPenalty    float64       // they never count for more
	HalfLife      time.Duration // in which they count for half
}

// DefaultConfig is what holds without being told. With 100 members a death is known to all in 6 to 7 s (docs/fleet.md) and held for
// certain 5 s later; a process that stands still for 5 s is not given up.
func DefaultConfig() Config {
	return Config{MaxMembers: 4096, GoneRetention: 10 * time.Minute, SuspectAfter: time.Second, GoneAfter: 5 * time.Second, SilentAfter: 5 * time.Second,
		StallThreshold: time.Second, SettleTime: 2 * time.Second, HeartbeatInterval: time.Second, FleetHeartbeatRate: 15, MaxMetrics: 16,
		FlapDamping:  FlapDampingConfig{SuppressLimit: 3, ReuseLimit: 1, MaxPenalty: 8, HalfLife: 30 * time.Second},
		Connectivity: ConnectivityConfig{Window: 3 * time.Second, DegradedBelow: 0.6, IsolatedBelow: 0.25, AdaptAfter: time.Minute, AckTimeout: 6 * time.Second}}
}
