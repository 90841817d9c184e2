package membership

import (
	"strings"
	"time"
)

// Roles is a set of what a member does for the fleet.
type Roles uint8

const (
	RoleServer      Roles = 1 << iota // serves ops
	RoleProxy                         // passes ops on
	RoleCoordinator                   // holds what the fleet has agreed
	RoleUpstream                      // is a service that instances call
)

var roleNames = []string{"instance", "relay", "steward", "below"}

func (r Roles) String() string {
	var names []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// ParseRoles reads names of roles; bad is the first that is none.
func ParseRoles(names []string) (roles Roles, unknown string) {
next:
	for _, name := range names {
		for i, known := range roleNames {
			if name == known {
				roles |= 1 << i
				continue next
			}
		}
		return roles, name
	}
	return roles, ""
}

// Descriptor is what a member says it is, for the whole of its life.
type Descriptor struct {
	Name        Name
	Incarnation Incarnation
	BootID      BootID
	GossipAddr  string // where its gossip is reached
	ServiceAddr string // where it takes ops; empty for one that takes none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // told: what it does beside the others, in cores
	WarmUp      time.Duration // how long it takes from ready to its full pace
}

// ID is the life that claims.
func (c Descriptor) ID() ID { return ID{c.Name, c.BootID} }

// olderThan tells whether a claim is of an earlier life of the name than another. Two of one number are told apart by their
// lives, so that all who hear both decide alike.
func (c Descriptor) olderThan(other Descriptor) bool {
	return c.Incarnation < other.Incarnation || c.Incarnation == other.Incarnation && c.BootID < other.BootID
}
