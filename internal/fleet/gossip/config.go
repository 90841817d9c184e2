package gossip

import (
	"time"

	"lanewheel/internal/membership"
)

// Config configures an Agent.
type Config struct {
	Name            membership.Name
	Cluster         string // messages from other clusters are dropped
	ListenAddr      string // ip:port, UDP and TCP
	AdvertiseAddr   string // ip:port at which other members reach the agent; empty: ListenAddr
	ServiceAddr     string // address at which the process accepts requests; empty: it accepts none
	Roles           membership.Roles
	Zone            string
	Release         string
	Capacity        float64 // in cores; a member's share of the work is proportional to it
	WarmUp          time.Duration
	Keys            []membership.Key // the first is the primary key; empty: gossip is not encrypted
	ProbeInterval   time.Duration    // interval between two probes of other members
	MaxMessageRate  float64          // maximum number of messages accepted per second
	StatusSocket    string           // path of a local socket; empty: no socket
	DrainWhenFenced bool             // the process stops when it is fenced
	DrainByPermit   bool             // the process drains under permits of the coordinators
	Membership      membership.Config
}
