package canary

import "math"

// runningStats computes the mean and the variance of a series one value at a time (Welford's algorithm).
type runningStats struct{ count, mean, squaredDeviations float64 }

func (s *runningStats) add(value float64) {
	s.count++
	delta := value - s.mean
	s.mean += delta / s.count
	s.squaredDeviations += delta * (value - s.mean)
}

// confidenceBounds returns bounds of the true mean. With probability 1-alpha, the bounds hold at every count of values.
// They are Robbins' normal mixture with the observed variance, an asymptotic confidence sequence (Waudby-Smith and
// others, 2021). sigma and rho are named as in that paper.
func (s *runningStats) confidenceBounds(alpha float64) (low, high float64) {
	const narrowestAt = 30.0 // number of values at which the bounds are tightest
	if s.count < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	// A few values that happen to be similar would make the variance too small, so two values of average deviation
	// are added.
	sigma := math.Sqrt((s.squaredDeviations + 2*s.squaredDeviations/s.count) / (s.count - 1))
	rho := math.Sqrt((-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)) + 1) / narrowestAt)
	t := s.count * rho * rho
	radius := sigma * math.Sqrt(2*(t+1)/(s.count*s.count*rho*rho)*math.Log(math.Sqrt(t+1)/alpha))
	return s.mean - radius, s.mean + radius
}
