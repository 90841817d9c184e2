package config

import (
	"strconv"
	"strings"
	"time"
)

// DrillFault is a fault that a drill injects into links or processes, a change of the load, or a command for the
// coordinators.
type DrillFault struct {
	Name              string
	Action            DrillAction   // empty only in a script with errors
	Earliest, Latest  time.Duration // the range of the random start, counted from when all processes are up
	Duration          time.Duration // the time until the fault is undone; 0 if it cannot be undone
	Targets, From, To DrillSelector
	Bidirectional     bool
	Fraction          float64
	Factor            float64 // the factor by which run times or the load are multiplied
	Command           string  // the command for the coordinators
	Delay, Jitter     time.Duration
	BytesPerSecond    int
	KeyNumbers        []int // the keys in use, counted from 1; the first one is the key that messages are encrypted with
	SeedMembers       int
	ForbidEviction    bool // the fault must not cause the eviction of a running member
	AllowUnanswered   bool // requests may remain unanswered during the fault
}

func (s *section) readDrillFault(drill *Drill) DrillFault {
	parsed := DrillFault{Name: s.label(), Fraction: 1, Factor: 4}
	parsed.Action = s.readAction("action")
	s.readFaultTime(&parsed)
	parsed.Targets = s.readSelector("targets", drill)
	parsed.From = s.readSelector("from", drill)
	parsed.To = s.readSelector("to", drill)
	commandsCoordinators := parsed.Action == ActionCoordinatorCommand
	switch {
	case parsed.Action.affectsLinks() && (parsed.From.Kind == "" || parsed.To.Kind == ""):
		s.report("from", "", "must be set together with the setting to, because the action affects links")
	case !parsed.Action.affectsLinks() && parsed.Targets.Kind == "" && parsed.Action != "" && !commandsCoordinators:
		s.report("targets", "", "must be a selector of processes, for example zone a, draw 5 or draw 33%")
	}
	s.boolValue("bidirectional", &parsed.Bidirectional)
	s.floatValue("fraction", &parsed.Fraction, 0, 1)
	s.floatValue("factor", &parsed.Factor, 0.01, 1000)
	s.stringValue("command", &parsed.Command)
	if commandsCoordinators && parsed.Command == "" {
		s.report("command", "", "must be a command for the coordinators, for example release FILE, halt, resume, back, "+
			"budgets FILE, drain NAME, drain zone NAME")
	}
	s.durationValue("delay", &parsed.Delay, 0, time.Minute)
	s.durationValue("jitter", &parsed.Jitter, 0, time.Minute)
	s.intValue("rate", &parsed.BytesPerSecond, 1, 1<<30)
	parsed.KeyNumbers = s.readKeyNumbers()
	s.intValue("seed-members", &parsed.SeedMembers, 1, drill.Instances)
	s.boolValue("forbid-eviction", &parsed.ForbidEviction)
	s.boolValue("allow-unanswered", &parsed.AllowUnanswered)
	s.reportUnknownNames()
	return parsed
}

// readFaultTime reads the start of a fault, which is a duration or a range of two separated by "..", and its duration.
func (s *section) readFaultTime(parsed *DrillFault) {
	window, _ := s.lookup("at")
	first, last, isRange := strings.Cut(window, "..")
	if !isRange {
		last = first
	}
	var err error
	if parsed.Earliest, err = time.ParseDuration(strings.TrimSpace(first)); err == nil {
		parsed.Latest, err = time.ParseDuration(strings.TrimSpace(last))
	}
	if err != nil || parsed.Earliest < 0 || parsed.Latest < parsed.Earliest {
		s.report("at", window, "must be a duration of 0s or more, or an ascending range, for example 5s..10s; "+
			"it counts from when all processes are up")
	}
	s.durationValue("duration", &parsed.Duration, 0, 24*time.Hour)
}

// readKeyNumbers reads the numbers of the cluster keys that are in use.
func (s *section) readKeyNumbers() []int {
	var numbers []int
	for _, text := range s.listValue("keys") {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > 8 {
			s.report("keys", text, "must be a whole number from 1 to 8; "+
				"the first one is the key that messages are encrypted with")
		}
		numbers = append(numbers, number)
	}
	return numbers
}
