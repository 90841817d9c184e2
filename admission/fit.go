package admission

type point struct{ x, y float64 }

// fitLine fits a line by least squares. It returns the mean of y, the slope, and the variance of x. All are 0 if
// there are no points or all have the same x.
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
