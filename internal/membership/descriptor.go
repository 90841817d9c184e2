package membership

import (
	"strings"
	"time"
)

// Roles is the set of roles that a member has in the fleet. Its bits are part of the gossip messages.
type Roles uint8

// The roles, one bit each.
const (
	RoleServer      Roles = 1 << iota // serves requests
	RoleProxy                         // forwards requests
	RoleCoordinator                   // stores the replicated state
	RoleUpstream                      // runs beside a service that servers call
)

// roleNames holds the names of the roles in operators' files and on status sockets, in bit order.
var roleNames = []string{"instance", "relay", "steward", "below"}

// String returns the names of the roles, joined by "+".
func (r Roles) String() string {
	var names []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// ParseRoles parses role names. unknown is the first name that is not a role, or empty if all are.
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

// Descriptor is the description that a member publishes of itself. Except for the incarnation, it is constant from the
// start of the process to its end.
type Descriptor struct {
	Name        Name
	Incarnation Incarnation
	BootID      BootID
	GossipAddr  string // address for gossip messages
	ServiceAddr string // address where it accepts requests; empty if it accepts none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // configured share of the work relative to other members, in cores
	WarmUp      time.Duration // time from ready to its full rate
}

// ID returns the identity of the process that the descriptor describes.
func (d Descriptor) ID() ID { return ID{Name: d.Name, BootID: d.BootID} }

// olderThan reports whether d describes an earlier process of the name than other does. Descriptors with the same
// incarnation are ordered by their boot IDs, so that all members that see both make the same decision.
func (d Descriptor) olderThan(other Descriptor) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation < other.Incarnation
	}
	return d.BootID < other.BootID
}
