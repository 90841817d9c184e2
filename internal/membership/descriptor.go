package membership

import (
	"strings"
	"time"
)

// Roles is a set of what a member does for the fleet. Its bits are part of the gossip messages.
type Roles uint8

// The roles, by the bit that stands for each.
const (
	RoleServer      Roles = 1 << iota // serves requests
	RoleProxy                         // forwards requests
	RoleCoordinator                   // holds the replicated state
	RoleUpstream                      // stands beside a service that servers call
)

// roleNames are the roles' names in operators' files and on status sockets, in the order of the bits.
var roleNames = []string{"instance", "relay", "steward", "below"}

// String is the names of the roles, joined by "+".
func (r Roles) String() string {
	var names []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// ParseRoles reads names of roles; unknown is the first that is not one, empty if there is none.
func ParseRoles(names []string) (roles Roles, unknown string) {
	for _, name := range names {
		role, found := parseRole(name)
		if !found {
			return roles, name
		}
		roles |= role
	}
	return roles, ""
}

func parseRole(name string) (role Roles, found bool) {
	for i, candidate := range roleNames {
		if name == candidate {
			return 1 << i, true
		}
	}
	return 0, false
}

// Descriptor is what a member says it is, from its start to its end.
type Descriptor struct {
	Name        Name
	Incarnation Incarnation
	BootID      BootID
	GossipAddr  string // where its gossip is reached
	ServiceAddr string // where it takes requests; empty for one that takes none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // as configured: its share of work beside the others, in cores
	WarmUp      time.Duration // from ready to its full rate
}

// ID is the identity of the process that the descriptor describes.
func (d Descriptor) ID() ID { return ID{Name: d.Name, BootID: d.BootID} }

// olderThan reports whether d is of an earlier process of the name than other. Two of the same incarnation are
// ordered by their boot IDs, so that all who see both decide alike.
func (d Descriptor) olderThan(other Descriptor) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation < other.Incarnation
	}
	return d.BootID < other.BootID
}
