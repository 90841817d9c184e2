package gossip

import (
	"time"

	"lanewheel/internal/membership"
)

// Config is what the part goes by.
type Config struct {
	Name            membership.Name
	Cluster         string // which fleet; others are not heard
	ListenAddr      string // ip:port, UDP and TCP
	AdvertiseAddr   string // where others reach it; empty: where it listens
	ServiceAddr     string // where the process takes ops, empty if it takes none
	Roles           membership.Roles
	Zone            string
	Release         string
	Capacity        float64
	WarmUp          time.Duration
	Keys            []membership.Key
	ProbeInterval   time.Duration // between two calls to another member
	MaxMessageRate  float64       // messages a second that are taken
	StatusSocket    string        // a local socket, empty for none
	LeaveWhenFenced bool          // a fenced one leaves
	DrainByPermit   bool          // it leaves by permits of the stewards
	Membership      membership.Config
}
