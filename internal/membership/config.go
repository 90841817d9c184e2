package membership

import "time"

// Config configures a Table.
type Config struct {
	MaxMembers         int           // maximum number of members, in any state; gone ones are evicted first
	GoneRetention      time.Duration // how long a gone member is kept
	SuspectAfter       time.Duration // from the detector's report to suspect; a member can refute the report until then
	GoneAfter          time.Duration // from suspect to gone
	SilentAfter        time.Duration // from the end of the maximum metric TTL to suspect, if no heartbeat has arrived
	StallThreshold     time.Duration // longest time between two ticks that is not taken for a stall
	SettleTime         time.Duration // time after a stall in which the table is considered out of date
	HeartbeatInterval  time.Duration // mean time between two heartbeats of a member in a small fleet
	FleetHeartbeatRate float64       // heartbeats per second of the whole fleet, in a large fleet
	MaxMetrics         int           // maximum number of metrics in a heartbeat
	FlapDamping        FlapDampingConfig
	Connectivity       ConnectivityConfig
	Seeds              []string // gossip addresses that are joined while no reachable member has them
}

// FlapDampingConfig configures how long a flapping member is kept suspect. The penalty is the decaying number of its
// returns.
type FlapDampingConfig struct {
	SuppressLimit float64       // from this penalty on, a member that returns stays suspect
	ReuseLimit    float64       // below this penalty, the member becomes available again
	MaxPenalty    float64       // maximum penalty
	HalfLife      time.Duration // time in which the penalty decays by half
}

// ConnectivityConfig configures how a process detects that it is itself cut off from the fleet.
type ConnectivityConfig struct {
	Window        time.Duration // time window over which distinct senders are counted
	DegradedBelow float64       // fraction of the baseline below which the process is degraded
	IsolatedBelow float64       // fraction of the baseline below which the process is isolated
	AdaptAfter    time.Duration // a low number of senders that lasts this long starts a new baseline
	AckTimeout    time.Duration // without a response to probes: the process is unanswered
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
