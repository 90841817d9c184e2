package admission

type point struct{ x, y float64 }

// fitLine fits a line by least squares: the mean of y, the slope, and the variance of x that the slope stands on. All
// are 0 if the points have one x.
func fitLine(points []point) (mean, slope, variance float64) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.x
		sumY += p.y
		sumXX += p.x * p.x
		sumXY += p.x * p.y
	}
	spread := sumXX*n - sumX*sumX
	if n == 0 || spread <= 0 {
		return 0, 0, 0
	}
	return sumY / n, (sumXY*n - sumX*sumY) / spread, spread / (n * n)
}
