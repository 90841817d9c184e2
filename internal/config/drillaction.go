package config

import "slices"

// DrillAction is the effect of a fault on links, processes, the load or the coordinators. Its value is the word in the
// records of drills. Files use another word for some actions: see earlierActions.
type DrillAction string

// Actions on links.
const (
	ActionRefuse    DrillAction = "refuse"
	ActionBlackhole DrillAction = "swallow"
	ActionDelay     DrillAction = "delay"
	ActionLose      DrillAction = "lose"
	ActionDuplicate DrillAction = "duplicate"
	ActionReorder   DrillAction = "reorder"
	ActionThrottle  DrillAction = "narrow"
	ActionStall     DrillAction = "stall"
	ActionHalfClose DrillAction = "half-close"
	ActionGarble    DrillAction = "garble"
)

// Actions on processes.
const (
	ActionKill        DrillAction = "kill"
	ActionWipe        DrillAction = "wipe"
	ActionPause       DrillAction = "pause"
	ActionRestart     DrillAction = "restart"
	ActionReplace     DrillAction = "replace"
	ActionLeave       DrillAction = "leave"
	ActionLateRuntime DrillAction = "late-runtime"
	ActionSlowRuns    DrillAction = "slow-runs"
	ActionFailRuns    DrillAction = "fail-runs"
	ActionLoseRuns    DrillAction = "lose-runs"
	ActionKeys        DrillAction = "keys"
	ActionSeeds       DrillAction = "seeds"
	ActionFlood       DrillAction = "flood"
)

// Actions on the load and the coordinators.
const (
	ActionBurst              DrillAction = "burst"
	ActionCoordinatorCommand DrillAction = "agree"
)

// linkActions are the actions that require selectors for both ends of links.
var linkActions = []DrillAction{
	ActionRefuse,
	ActionBlackhole,
	ActionDelay,
	ActionLose,
	ActionDuplicate,
	ActionReorder,
	ActionThrottle,
	ActionStall,
	ActionHalfClose,
	ActionGarble,
}

// otherActions are the actions that do not affect links. All except ActionCoordinatorCommand require a selector of
// processes.
var otherActions = []DrillAction{
	ActionKill,
	ActionWipe,
	ActionPause,
	ActionRestart,
	ActionReplace,
	ActionLeave,
	ActionLateRuntime,
	ActionSlowRuns,
	ActionFailRuns,
	ActionLoseRuns,
	ActionKeys,
	ActionSeeds,
	ActionFlood,
	ActionBurst,
	ActionCoordinatorCommand,
}

// affectsLinks reports whether the action affects links and thus requires selectors for both ends.
func (a DrillAction) affectsLinks() bool { return slices.Contains(linkActions, a) }

// readAction reads an action. It returns "" if the setting is missing or is not an action.
func (s *section) readAction(name string) DrillAction {
	actions := map[string]DrillAction{}
	var words []string
	for _, action := range slices.Concat(linkActions, otherActions) {
		word := string(action)
		if current, renamed := earlierActions[word]; renamed {
			word = current
		}
		actions[word] = action
		words = append(words, word)
	}
	word := ""
	s.enumValue(name, &word, words...)
	if word == "" {
		s.report(name, "", "must be an action, for example blackhole or kill")
	}
	return actions[word]
}
