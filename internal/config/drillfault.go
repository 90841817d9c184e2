package config

import (
	"strconv"
	"strings"
	"time"
)

// DrillFault is one thing that is done, to links or to processes.
type DrillFault struct {
	Name              string
	Action            DrillAction   // empty is an error of the script
	Earliest, Latest  time.Duration // it begins between these, by chance
	Duration          time.Duration // until it is undone; 0 for what can't be
	Targets, From, To DrillSelector
	Bidirectional     bool
	Fraction          float64
	Factor            float64 // so many times as long, or as much
	Command           string  // for the coordinators
	Delay, Jitter     time.Duration
	BytesPerSecond    int
	KeyNumbers        []int // from 1, the one to write with first
	SeedMembers       int
	ForbidEviction    bool // no member that is there may be evicted over it
	AllowUnanswered   bool // requests may be without an answer while it lasts
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
	case parsed.Action.onLinks() && (parsed.From.Kind == "" || parsed.To.Kind == ""):
		s.report("from", "", "wants both, from and to, as the fault is one of links")
	case !parsed.Action.onLinks() && parsed.Targets.Kind == "" && parsed.Action != "" && !commandsCoordinators:
		s.report("targets", "", "wants processes, as zone a, draw 5 or draw 33%")
	}
	s.boolValue("bidirectional", &parsed.Bidirectional)
	s.floatValue("fraction", &parsed.Fraction, 0, 1)
	s.floatValue("factor", &parsed.Factor, 0.01, 1000)
	s.stringValue("command", &parsed.Command)
	if commandsCoordinators && parsed.Command == "" {
		s.report("command", "", "wants a command for the coordinators, as release FILE, halt, resume, back, budgets FILE, "+
			"drain NAME, drain zone NAME")
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

// readFaultTime reads when a fault begins, a time or two with .. between, and how long it lasts.
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
		s.report("at", window, "wants a time, or two with .. between, from when all are up")
	}
	s.durationValue("duration", &parsed.Duration, 0, 24*time.Hour)
}

// readKeyNumbers reads which of the cluster's keys are in force.
func (s *section) readKeyNumbers() []int {
	var numbers []int
	for _, text := range s.listValue("keys") {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > 8 {
			s.report("keys", text, "wants numbers from 1 to 8, the one to write with first")
		}
		numbers = append(numbers, number)
	}
	return numbers
}
