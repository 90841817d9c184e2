package config

import "slices"

// DrillAction is what a drill does to links or processes. Its value is the word in records of drills; files have
// another word for some.
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

// linkActions are the actions that need both ends of links.
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

// otherActions are the actions that need processes, but for ActionCoordinatorCommand.
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

// onLinks tells whether the action is one on links.
func (a DrillAction) onLinks() bool { return slices.Contains(linkActions, a) }

// readAction reads what is done; empty if that is none of the actions.
func (s *section) readAction(name string) DrillAction {
	actions := map[string]DrillAction{}
	var words []string
	for _, action := range slices.Concat(linkActions, otherActions) {
		word := string(action)
		if now, renamed := earlierActions[word]; renamed {
			word = now
		}
		actions[word] = action
		words = append(words, word)
	}
	word := ""
	s.enumValue(name, &word, words...)
	if word == "" {
		s.report(name, "", "wants what is done, as blackhole or kill")
	}
	return actions[word]
}
