// Package coordinatorconfig holds the configuration of a coordinator, apart from the coordinator itself, so that what
// reads files does not link its log.
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
	ListenAddr    string   // where the other coordinators and operators reach it
	AdvertiseAddr string   // where the other coordinators dial it; empty: ListenAddr
	Coordinators  []string // addresses of all coordinators; its own may be among them
	LocalIP       string   // address to dial from, empty for any
	ClusterKeys   []membership.Key

	// The log. Bootstrap and ForceNewCluster exclude each other.
	DataDir           string // of the log, the snapshots and the identity
	Bootstrap         bool   // it is the first one of a new fleet
	ForceNewCluster   bool   // the others are lost for good: it goes on alone from its own state
	HeartbeatTimeout  time.Duration
	SnapshotThreshold uint64 // log entries between two snapshots

	// What is agreed, and the analysis of rollouts.
	Coordination   coordination.Config
	Canary         canary.Config
	AnalysisWindow time.Duration
	SampleSize     int // members of each release that are asked in a window

	// The operator's command that starts a member anew; an empty one leaves that to others.
	RestartCommand     string
	RestartTimeout     time.Duration // of one run
	RestartOutputLimit int           // bytes of its output that are kept
}
