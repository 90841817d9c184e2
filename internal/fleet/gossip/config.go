package gossip

import (
	"time"

	"lanewheel/internal/membership"
)

// Config is what an agent goes by.
type Config struct {
	Name            membership.Name
	Cluster         string // messages of other clusters are dropped
	ListenAddr      string // ip:port, UDP and TCP
	AdvertiseAddr   string // where others reach it; empty: ListenAddr
	ServiceAddr     string // where the process takes requests; empty if it takes none
	Roles           membership.Roles
	Zone            string
	Release         string
	Capacity        float64 // its share of work beside the others, in cores
	WarmUp          time.Duration
	Keys            []membership.Key // the first is the primary one; none: gossip is not encrypted
	ProbeInterval   time.Duration    // between two probes of another member
	MaxMessageRate  float64          // messages a second that are taken
	StatusSocket    string           // path of a local socket; empty for none
	LeaveWhenFenced bool             // a fenced process stops
	DrainByPermit   bool             // it drains by permits of the coordinators
	Membership      membership.Config
}
