// Package coordinatorconfig is what a steward is told, apart from the steward itself, so that whoever reads files does not link it.
package coordinatorconfig

import (
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/membership"
)

// Config is what a steward goes by.
type Config struct {
	Name               string
	ListenAddr         string   // where the other stewards and operators reach it
	AdvertiseAddr      string   // where they dial it; empty: where it listens
	Coordinators       []string // addresses of the stewards, its own may be among them
	DataDir            string   // of its log and snapshots
	Bootstrap          bool     // it is the first of a new fleet
	ForceNewCluster    bool     // the others are lost for good: it goes on from its own state
	HeartbeatTimeout   time.Duration
	ClusterKeys        []membership.Key
	Coordination       coordination.Config
	Canary             canary.Config
	AnalysisWindow     time.Duration // of the judgement
	SampleSize         int           // members of each release that a window asks
	RestartCommand     string        // an operator's command that starts a member anew; empty: whoever else does it
	RestartTimeout     time.Duration // that the command may take
	RestartOutputLimit int           // bytes of what it prints that are kept
	LocalIP            string        // address to dial from, empty for any
	SnapshotThreshold  uint64        // log entries between two snapshots
}
