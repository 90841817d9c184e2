package coordination

import (
	"strings"

	"lanewheel/internal/membership"
)

// Selector selects the members that match all of its fields. An empty field matches any value.
type Selector struct {
	Zone     string `json:"Zone"`
	Release  string `json:"Release"`
	Role     string `json:"Role"`  // name of a role that membership.ParseRoles accepts
	Upstream string `json:"Below"` // upstream service that the member provides
}

// String lists the fields that are set, or returns "all" if none is set.
func (s Selector) String() string {
	var terms []string
	for _, field := range []struct{ name, value string }{
		{"zone", s.Zone},
		{"release", s.Release},
		{"role", s.Role},
		{"below", s.Upstream},
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

func (s Selector) matches(observation Observation) bool {
	if s.Role != "" {
		roles, unknown := membership.ParseRoles([]string{s.Role})
		if unknown != "" || observation.Roles&roles == 0 {
			return false
		}
	}
	matchesField := func(want, have string) bool { return want == "" || want == have }
	return matchesField(s.Zone, observation.Zone) &&
		matchesField(s.Release, observation.Release) &&
		matchesField(s.Upstream, observation.Upstream)
}
