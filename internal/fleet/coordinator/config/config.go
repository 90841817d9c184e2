// Package coordinatorconfig defines the configuration of a coordinator. It is separate from the coordinator, so that
// packages that read configuration files do not link the replicated log.
package coordinatorconfig

import (
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/membership"
)

// Config is the configuration of one coordinator.
type Config struct {
	// Name and addresses.
	Name          string
	ListenAddr    string   // address on which it accepts connections from other coordinators and operators
	AdvertiseAddr string   // address that the other coordinators dial; empty: ListenAddr
	Coordinators  []string // addresses of all coordinators; its own may be among them
	LocalIP       string   // address to dial from, empty for any
	ClusterKeys   []membership.Key

	// The replicated log. Bootstrap and ForceNewCluster are mutually exclusive.
	DataDir           string // directory of the log, the snapshots and the identity file
	Bootstrap         bool   // it is the first coordinator of a new fleet
	ForceNewCluster   bool   // the others are permanently lost: it continues alone with its own state
	HeartbeatTimeout  time.Duration
	SnapshotThreshold uint64 // number of log entries between two snapshots

	// The replicated state and the analysis of rollouts.
	Coordination   coordination.Config
	Canary         canary.Config
	AnalysisWindow time.Duration
	SampleSize     int // maximum number of members of each release whose statistics are queried in a window

	// The operator's command that restarts a member. If it is empty, the coordinator does not restart members.
	RestartCommand     string
	RestartTimeout     time.Duration // maximum duration of one run of the command
	RestartOutputLimit int           // maximum number of bytes of the command's output that are logged
}
