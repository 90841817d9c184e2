package config

import (
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/coordination"
)

// ParseRollout parses the text of a rollout plan, which an operator sends to the coordinators. The file consists of a
// section [release]. path is the name of the file in diagnostics. ParseRollout logs a warning about earlier names. The
// error is a diagnostic.List with all errors.
func ParseRollout(path string, text []byte) (coordination.RolloutPlan, error) {
	r := newReader(path, text, &planRenames)
	plan := coordination.RolloutPlan{
		Pause:               time.Minute,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2,
		MaxAttempts:         3,
	}
	s := r.section("release")
	if !s.exists() {
		s.report("", "", "is missing")
	}
	s.requiredString("name", &plan.Name)
	s.requiredString("target-release", &plan.TargetRelease)
	plan.Selector = s.readMemberSelector("of-")
	if plan.Selector.Role == "" {
		plan.Selector.Role = "instance"
	}
	for _, spec := range s.listValue("waves") {
		wave, valid := parseWave(spec)
		if !valid {
			s.report("waves", spec, "must be a whole number of at least 1, a percentage from 1% to 100%, or zone NAME")
		}
		plan.Waves = append(plan.Waves, wave)
	}
	s.durationValue("pause", &plan.Pause, 0, 24*time.Hour)
	s.boolValue("analyzed", &plan.AnalysisRequired)
	s.floatValue("rollback-speedup", &plan.RollbackWavesAtOnce, 1, 1000)
	s.intValue("max-tries", &plan.MaxAttempts, 1, 100)
	s.reportUnknownNames()
	r.reportUnknownSections()
	r.renamed.Warn()
	return plan, r.diagnostics.Err()
}

// parseWave parses a wave: a number of members, a percentage of all members, for example 10%, or zone NAME.
func parseWave(spec string) (wave coordination.Wave, valid bool) {
	if zone, isZone := strings.CutPrefix(spec, "zone "); isZone {
		return coordination.Wave{Zone: strings.TrimSpace(zone)}, true
	}
	number, isPercentage := strings.CutSuffix(spec, "%")
	n, err := strconv.Atoi(number)
	switch {
	case err != nil || n < 1 || isPercentage && n > 100:
		return wave, false
	case isPercentage:
		return coordination.Wave{Fraction: float64(n) / 100}, true
	}
	return coordination.Wave{Count: n}, true
}
