package coordination

import (
	"strings"

	"lanewheel/internal/membership"
)

// Selector selects the members that have all that it names; an empty field matches any.
type Selector struct {
	Zone     string `json:"Zone"`
	Release  string `json:"Release"`
	Role     string `json:"Role"`  // name of a role, as in the operator's file
	Upstream string `json:"Below"` // upstream service that the member is
}

// String lists the fields that are set, "all" if none is.
func (g Selector) String() string {
	var terms []string
	for _, field := range []struct{ name, value string }{
		{"zone", g.Zone},
		{"release", g.Release},
		{"role", g.Role},
		{"below", g.Upstream},
	} {
		if field.value != "" {
			terms = append(terms, field.name+"="+field.value)
		}
	}
	if len(terms) == 0 {
		return "all"
	}
	return strings.Join(terms, " ")
}

func (g Selector) matches(observation Observation) bool {
	if g.Role != "" {
		roles, unknown := membership.ParseRoles([]string{g.Role})
		if unknown != "" || observation.Roles&roles == 0 {
			return false
		}
	}
	matchesField := func(want, have string) bool { return want == "" || want == have }
	return matchesField(g.Zone, observation.Zone) &&
		matchesField(g.Release, observation.Release) &&
		matchesField(g.Upstream, observation.Upstream)
}
