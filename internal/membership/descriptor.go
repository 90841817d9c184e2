package membership

import (
	"strings"
	"time"
)

// Roles is the set of roles of a member in the fleet. Its bits are part of the gossip messages.
type Roles uint8

// The bits of Roles.
const (
	RoleServer      Roles = 1 << iota // serves requests
	RoleProxy                         // forwards requests
	RoleCoordinator                   // holds the replicated state
	RoleUpstream                      // runs beside an upstream service that servers call
)

// roleNames are the names of the roles in operators' files and on status sockets, in the order of the bits.
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

// ParseRoles returns the set of the roles with the given names. unknown is the first name that is not the name of a
// role, or empty if all are.
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

// Descriptor describes a member. A member announces it itself, and it remains the same while the process runs, except
// for the incarnation.
type Descriptor struct {
	Name        Name
	Incarnation Incarnation
	BootID      BootID
	GossipAddr  string // address for gossip
	ServiceAddr string // address at which it accepts requests; empty: it accepts none
	Roles       Roles
	Zone        string
	Release     string
	Capacity    float64       // configured share of the work relative to other members, in cores
	WarmUp      time.Duration // time from ready to its full rate
}

// ID returns the identity of the process that the descriptor describes.
func (d Descriptor) ID() ID { return ID{Name: d.Name, BootID: d.BootID} }

// olderThan reports whether d belongs to an earlier process than other, which has the same name. Processes with the
// same incarnation are ordered by their boot IDs, so that all members that receive both descriptors make the same
// decision.
func (d Descriptor) olderThan(other Descriptor) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation < other.Incarnation
	}
	return d.BootID < other.BootID
}
