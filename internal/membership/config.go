package membership

import "time"

// Config holds the limits and timeouts of the membership decisions.
type Config struct {
	MaxMembers         int           // maximum number of other members in any state; gone ones are evicted first
	GoneRetention      time.Duration // how long a gone member is kept in the table
	SuspectAfter       time.Duration // from the detector's report to suspect; a false report can be refuted meanwhile
	GoneAfter          time.Duration // from suspect to gone
	SilentAfter        time.Duration // a serving member silent for this plus the maximum metric TTL is suspect
	StallThreshold     time.Duration // a longer time between two ticks means that this process was stalled
	SettleTime         time.Duration // time after a stall during which the local view may be out of date
	HeartbeatInterval  time.Duration // mean time between two heartbeats of a member in a small fleet
	FleetHeartbeatRate float64       // heartbeats per second of all members together in a large fleet
	MaxMetrics         int           // maximum number of metrics in a heartbeat
	FlapDamping        FlapDampingConfig
	Connectivity       ConnectivityConfig
	Seeds              []string // gossip addresses to join while no reachable member has them
}

// FlapDampingConfig configures how long members that repeatedly become unreachable and return stay suspect. The penalty
// is a decaying count of a member's returns.
type FlapDampingConfig struct {
	SuppressLimit float64       // from this penalty on, a returning member stays suspect
	ReuseLimit    float64       // below this penalty, the member becomes available again
	MaxPenalty    float64       // upper limit of the penalty
	HalfLife      time.Duration // time in which the penalty decays by half
}

// ConnectivityConfig configures how a process detects that it is cut off from the fleet.
type ConnectivityConfig struct {
	Window        time.Duration // period over which distinct senders are counted
	DegradedBelow float64       // fraction of the usual number of senders below which the process is degraded
	IsolatedBelow float64       // fraction of the usual number of senders below which the process is isolated
	AdaptAfter    time.Duration // time after which a lower number of senders becomes the new baseline
	AckTimeout    time.Duration // time without an ack to its probes after which the process is unanswered
}

// DefaultConfig returns the default configuration.
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
