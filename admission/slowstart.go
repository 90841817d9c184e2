package admission

import "time"

// minWarmUpSpeedShare keeps estimates finite if the configured initial speed is 0.
const minWarmUpSpeedShare = 0.05

// slowStart describes the warm-up of an instance that has just started.
type slowStart struct {
	startedAt    time.Duration
	duration     time.Duration // 0 or less: no warm-up
	initialShare float64       // share of full speed at the start
}

func newSlowStart(settings *Settings, now time.Duration) slowStart {
	s := slowStart{startedAt: now, initialShare: max(minWarmUpSpeedShare, settings.WarmUpSpeedShare)}
	if settings.JustStarted {
		s.duration = settings.WarmUp
	}
	return s
}

// speedShare returns the speed of the instance as a share of full speed. It increases linearly to 1.
func (s *slowStart) speedShare(now time.Duration) float64 {
	age := now - s.startedAt
	if s.duration <= 0 || age >= s.duration {
		return 1
	}
	return s.initialShare + (1-s.initialShare)*float64(age)/float64(s.duration)
}
