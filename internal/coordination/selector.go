package coordination

import (
	"lanewheel/internal/membership"
)

// Selector is a group: members that have all that is told; empty fields match any.
type Selector struct {
	Zone     string `json:"Zone"`
	Release  string `json:"Release"`
	Role     string `json:"Role"`
	Upstream string `json:"Below"`
}

func (g Selector) String() string {
	text := ""
	for _, field := range [][2]string{{"zone", g.Zone}, {"release", g.Release}, {"role", g.Role}, {"below", g.Upstream}} {
		if field[1] != "" {
			text += field[0] + "=" + field[1] + " "
		}
	}
	if text == "" {
		return "all"
	}
	return text[:len(text)-1]
}

func (g Selector) matches(observation Observation) bool {
	matchesField := func(want, have string) bool { return want == "" || want == have }
	if g.Role != "" {
		roles, unknown := membership.ParseRoles([]string{g.Role})
		if unknown != "" || observation.Roles&roles == 0 {
			return false
		}
	}
	return matchesField(g.Zone, observation.Zone) && matchesField(g.Release, observation.Release) && matchesField(g.Upstream, observation.Upstream)
}
