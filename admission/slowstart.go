package admission

import "time"

// minWarmUpSpeedShare keeps estimates finite where the configured speed at the start is none.
const minWarmUpSpeedShare = 0.05

// slowStart is the warm-up of an instance that has just started.
type slowStart struct {
	startedAt    time.Duration
	duration     time.Duration // 0 or less: no warm-up
	initialShare float64       // of full speed
}

func newSlowStart(settings *Settings, now time.Duration) slowStart {
	s := slowStart{startedAt: now, initialShare: max(minWarmUpSpeedShare, settings.WarmUpSpeedShare)}
	if settings.JustStarted {
		s.duration = settings.WarmUp
	}
	return s
}

// speedShare is the speed of the instance as a share of full speed; it rises evenly to 1.
func (s *slowStart) speedShare(now time.Duration) float64 {
	age := now - s.startedAt
	if s.duration <= 0 || age >= s.duration {
		return 1
	}
	return s.initialShare + (1-s.initialShare)*float64(age)/float64(s.duration)
}
