package membership

import "time"

// Config is what the decisions go by.
type Config struct {
	MaxMembers         int           // members kept, in whatever state; those gone are dropped first
	GoneRetention      time.Duration // how long a member that is gone is remembered
	SuspectAfter       time.Duration // from the detector's report to suspect; a false report is refuted within it
	GoneAfter          time.Duration // from suspect to gone
	SilentAfter        time.Duration // without a heartbeat from one that serves, beyond the TTL of its metrics
	StallThreshold     time.Duration // between two ticks; longer, and this process stood still
	SettleTime         time.Duration // after a stall, until what is known here is up to date again
	HeartbeatInterval  time.Duration // between two heartbeats of a member, in a small fleet
	FleetHeartbeatRate float64       // heartbeats a second in the whole fleet, in a large one
	MaxMetrics         int           // of a member
	FlapDamping        FlapDampingConfig
	Connectivity       ConnectivityConfig
	Seeds              []string // gossip addresses that are called while nobody there is known
}

// FlapDampingConfig is how members that come and go are held back.
type FlapDampingConfig struct {
	SuppressLimit float64       // penalty from which a member that comes back stays suspect
	ReuseLimit    float64       // penalty below which it is taken back
	MaxPenalty    float64       // the penalty never grows beyond it
	HalfLife      time.Duration // in which the penalty decays by half
}

// ConnectivityConfig is how a process tells that it is cut off itself.
type ConnectivityConfig struct {
	Window        time.Duration // in which distinct senders are counted
	DegradedBelow float64       // fraction of the usual number of senders
	IsolatedBelow float64       // fraction of the usual number of senders
	AdaptAfter    time.Duration // after which what is heard becomes the usual, whatever it is
	AckTimeout    time.Duration // without an answer to a probe of ours: nobody hears us
}

// DefaultConfig is what holds unless configured otherwise.
func DefaultConfig() Config {
	return Config{
		MaxMembers:         4096,
		GoneRetention:      10 * time.Minute,
		SuspectAfter:       time.Second,
		GoneAfter:          5 * time.Second,
		SilentAfter:        5 * time.Second,
		StallThreshold:     time.Second,
		SettleTime:         2 * time.Second,
		HeartbeatInterval:  time.Second,
		FleetHeartbeatRate: 15,
		MaxMetrics:         16,
		FlapDamping: FlapDampingConfig{
			SuppressLimit: 3,
			ReuseLimit:    1,
			MaxPenalty:    8,
			HalfLife:      30 * time.Second,
		},
		Connectivity: ConnectivityConfig{
			Window:        3 * time.Second,
			DegradedBelow: 0.6,
			IsolatedBelow: 0.25,
			AdaptAfter:    time.Minute,
			AckTimeout:    6 * time.Second,
		},
	}
}
